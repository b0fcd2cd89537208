// Package jsonc decodes JSON with comments strictly: it refuses unknown fields,
// duplicate names and data after the end of the value. Errors name the line.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode parses JSON with comments and trailing commas into the value that
// into points to. It does not modify data.
func Decode(data []byte, into any) error {
	doc, err := hujson.Parse(bytes.Clone(data)) // Standardize modifies the bytes that were parsed
	if err != nil {
		return err // it names the line
	}
	if err := checkNames(data, doc.Value, ""); err != nil {
		return err
	}
	original := doc.Clone()
	doc.Standardize() // this keeps the offsets
	dec := json.NewDecoder(bytes.NewReader(doc.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return locate(data, original, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the end of the value")
	}
	return nil
}

// locate adds the line to an error of encoding/json.
func locate(data []byte, doc hujson.Value, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return atLine(data, int(wrongType.Offset), err)
	}
	// The error for an unknown field has no type and no offset.
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		if unquoted, unquoteErr := strconv.Unquote(name); unquoteErr == nil {
			if offset, found := findMember(doc, unquoted); found {
				return atLine(data, offset, err)
			}
		}
	}
	return err
}

// atLine adds the line of an offset to an error.
func atLine(data []byte, offset int, err error) error {
	line := 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}

// findMember returns the offset of the first member with the given name.
func findMember(v hujson.Value, name string) (offset int, found bool) {
	for x := range v.All() {
		o, ok := x.Value.(*hujson.Object)
		if !ok {
			continue
		}
		for _, m := range o.Members {
			if literal, ok := m.Name.Value.(hujson.Literal); ok && literal.String() == name {
				return m.Name.StartOffset, true
			}
		}
	}
	return 0, false
}

// checkNames refuses objects with duplicate names. encoding/json would keep the
// last value and drop the others.
func checkNames(data []byte, v hujson.ValueTrimmed, path string) error {
	switch v := v.(type) {
	case *hujson.Object:
		return checkObject(data, v, path)
	case *hujson.Array:
		for i, e := range v.Elements {
			if err := checkNames(data, e.Value, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkObject(data []byte, o *hujson.Object, path string) error {
	seen := map[string]bool{}
	for _, m := range o.Members {
		literal, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := literal.String()
		if seen[name] {
			return atLine(data, m.Name.StartOffset, fmt.Errorf("field %q appears twice", path+name))
		}
		seen[name] = true
		if err := checkNames(data, m.Value.Value, path+name+"."); err != nil {
			return err
		}
	}
	return nil
}
