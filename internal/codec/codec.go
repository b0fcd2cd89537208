// Package codec encodes messages between hosts and files of a host in CBOR (RFC
// 8949). Unmarshal decodes all that Marshal returns. The defaults of the library do
// not: it encodes strings that are no valid UTF-8 and arrays of any length, and
// then refuses to decode them. One such value would make the whole message or file
// unreadable.
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// maxNestedLevels is the deepest nesting that the library can decode. The types of
// this program nest a few levels deep.
const maxNestedLevels = math.MaxUint16

var unlimited = NewDecoder(Options{
	MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, MaxNestedLevels: maxNestedLevels,
})

// Marshal returns the encoded value.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes data into the value to which v points. Its memory is
// proportional to the length of data.
func Unmarshal(data []byte, v any) error { return unlimited.Unmarshal(data, v) }

// Options limits what a Decoder accepts.
type Options struct {
	MaxArrayElements int
	MaxMapPairs      int
	MaxNestedLevels  int
}

// Decoder is an Unmarshal with limits, for messages whose sender is not known.
type Decoder struct{ mode cbor.DecMode }

// NewDecoder returns a decoder. It panics if an option is outside the range of the
// library.
func NewDecoder(o Options) Decoder {
	mode, err := cbor.DecOptions{
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxArrayElements: o.MaxArrayElements, MaxMapPairs: o.MaxMapPairs, MaxNestedLevels: o.MaxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return Decoder{mode}
}

// Unmarshal decodes data into the value to which v points.
func (d Decoder) Unmarshal(data []byte, v any) error { return d.mode.Unmarshal(data, v) }
