// Package strictjson decodes JSON that people and other programs write. RFC 8259 leaves
// it to the reader what an odd text means; this package refuses each text that two
// readers could understand differently.
package strictjson

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Decode decodes one JSON value into the value that into points to. It refuses bytes
// and escapes that are no Unicode text, an object that names a field twice, a value of
// another type than its field, and data after the value. Names of fields are
// case-sensitive. Fields that the target does not have are ignored. A field that is null
// leaves a nil pointer, like one that is missing.
func Decode(data []byte, into any) error { return json.Unmarshal(data, into) }

// DecodeKnown does the same, and refuses fields that the target does not have. The error
// is a *json.SemanticError or *jsontext.SyntacticError with the offset in data.
func DecodeKnown(data []byte, into any) error {
	return json.Unmarshal(data, into, json.RejectUnknownMembers(true))
}

// Check returns an error for a text that Decode refuses whatever the target is.
func Check(data []byte) error {
	var value jsontext.Value
	return json.Unmarshal(data, &value)
}
