package eventlog

import (
	"encoding"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/jx"
	"github.com/sirupsen/logrus"
)

// formatter writes a line as a JSON object. It avoids the reflection and sorting
// of the logrus formatter, because entry hosts have only a fraction of a core.
type formatter struct{}

// Format returns the entry as one line.
func (formatter) Format(e *logrus.Entry) ([]byte, error) {
	enc := jx.GetEncoder()
	defer jx.PutEncoder(enc)
	enc.ObjStart()
	enc.FieldStart("time")
	enc.Str(e.Time.Format(time.RFC3339Nano))
	enc.FieldStart("level")
	enc.Str(e.Level.String())
	enc.FieldStart("msg")
	writeText(enc, e.Message)
	for name, value := range e.Data {
		enc.FieldStart(name)
		encode(enc, value)
	}
	enc.ObjEnd()
	return append(append([]byte(nil), enc.Bytes()...), '\n'), nil
}

// maxTextBytes limits each text in a line. Texts may come from other programs, such as
// the id of an invalid announcement.
const maxTextBytes = 1 << 10

// cutMark ends a text that was cut.
const cutMark = "..."

// writeText writes a string. It replaces what is no valid UTF-8, as in the id of
// an invalid announcement, since JSON must be valid UTF-8 (RFC 8259), and cuts a long
// one.
func writeText(enc *jx.Encoder, s string) {
	if len(s) <= maxTextBytes {
		enc.Str(strings.ToValidUTF8(s, string(utf8.RuneError)))
		return
	}
	enc.Str(strings.ToValidUTF8(s[:maxTextBytes], "") + cutMark)
}

// encode writes one value. Types without a case of their own are written as text.
func encode(enc *jx.Encoder, value any) {
	switch v := value.(type) {
	case string:
		writeText(enc, v)
	case bool:
		enc.Bool(v)
	case int:
		enc.Int(v)
	case int64:
		enc.Int64(v)
	case uint32:
		enc.UInt32(v)
	case uint64:
		enc.UInt64(v)
	case []string:
		enc.ArrStart()
		for _, s := range v {
			writeText(enc, s)
		}
		enc.ArrEnd()
	case encoding.TextMarshaler:
		text, err := v.MarshalText()
		if err != nil {
			text = []byte(err.Error())
		}
		writeText(enc, string(text))
	default:
		writeText(enc, fmt.Sprint(v))
	}
}
