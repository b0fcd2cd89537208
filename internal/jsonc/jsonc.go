// Package jsonc decodes JSON with comments strictly: unknown fields, names
// given twice and data after the end are refused.
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
// into points to. The data is left as it is.
func Decode(data []byte, into any) error {
	doc, err := hujson.Parse(bytes.Clone(data)) // parsing and blanking share memory
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

// checkNames refuses objects in which a name stands twice. Encoding/json would
// keep the last value and lose the others.
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
			return fmt.Errorf("field %q stands twice", path+name)
		}
		seen[name] = true
		if err := checkNames(m.Value.Value, path+name+"."); err != nil {
			return err
		}
	}
	return nil
}
