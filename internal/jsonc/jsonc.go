// Package jsonc decodes JSON with comments strictly: it refuses unknown fields,
// duplicate names and data after the end of the value.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/tailscale/hujson"
)

// Decode parses JSON with comments and trailing commas into the value that
// into points to. It does not modify data.
func Decode(data []byte, into any) error {
	doc, err := hujson.Parse(bytes.Clone(data)) // Standardize modifies the bytes that were parsed
	if err != nil {
		return err
	}
	if err := checkNames(doc.Value, ""); err != nil {
		return err
	}
	doc.Standardize()
	dec := json.NewDecoder(bytes.NewReader(doc.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the end of the value")
	}
	return nil
}

// checkNames refuses objects with duplicate names. encoding/json would keep the
// last value and drop the others.
func checkNames(v hujson.ValueTrimmed, path string) error {
	switch v := v.(type) {
	case *hujson.Object:
		return checkObject(v, path)
	case *hujson.Array:
		for i, e := range v.Elements {
			if err := checkNames(e.Value, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkObject(o *hujson.Object, path string) error {
	seen := map[string]bool{}
	for _, m := range o.Members {
		literal, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := literal.String()
		if seen[name] {
			return fmt.Errorf("field %q appears twice", path+name)
		}
		seen[name] = true
		if err := checkNames(m.Value.Value, path+name+"."); err != nil {
			return err
		}
	}
	return nil
}
