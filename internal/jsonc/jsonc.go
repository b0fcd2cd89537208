// Package jsonc decodes JSON with comments strictly: it refuses unknown fields, those
// included whose names differ from known ones only in case, duplicate names, text that is
// not Unicode, and data after the end of the value. Errors name the line.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"

	"greengagequay/internal/strictjson"
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
	doc.Standardize() // this keeps the offsets
	standard := doc.Pack()
	if err := strictjson.DecodeKnown(standard, into); err != nil {
		return locate(standard, err)
	}
	return nil
}

// locate adds the line to an error of strictjson.
func locate(data []byte, err error) error {
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return atLine(data, startOfText(data, syntactic.ByteOffset), err)
	}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return err
	}
	return atLine(data, startOfText(data, semantic.ByteOffset), describe(semantic))
}

// describe returns the error with a text that is the same in each process. The library
// varies its own, so that programs do not depend on it.
func describe(err *json.SemanticError) error {
	switch {
	case err.Err == nil:
		return fmt.Errorf("cannot unmarshal a JSON %v into field %q", err.JSONKind, err.JSONPointer)
	case errors.Is(err, json.ErrUnknownName):
		return fmt.Errorf("unknown field %q", err.JSONPointer.LastToken())
	}
	return fmt.Errorf("cannot unmarshal a JSON %v into field %q: %w", err.JSONKind, err.JSONPointer, err.Err)
}

// startOfText returns the offset of the first name or value from the given one on. The
// offset of an error may be that of the white space or separator before it.
func startOfText(data []byte, offset int64) int {
	n := min(int(offset), len(data))
	return n + len(data[n:]) - len(bytes.TrimLeft(data[n:], " \t\r\n,:"))
}

// atLine adds the line of an offset to an error.
func atLine(data []byte, offset int, err error) error {
	line := 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}

// checkNames refuses objects with duplicate names and names the path of the field.
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
