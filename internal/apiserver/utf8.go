package apiserver

import (
	"bytes"
	"io"
	"net/http"
	"unicode/utf8"

	"greengagequay/internal/fault"
)

// maxBodyBytes limits the body of a call. A settings file of thousands of services
// fits.
const maxBodyBytes = 16 << 20

// RequireUTF8 rejects calls whose body is not valid UTF-8. The generated decoder
// accepts them, although JSON must be valid UTF-8 (RFC 8259).
func RequireUTF8(next http.Handler, writeError func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		switch {
		case err != nil:
			writeError(w, fault.New(fault.Invalid, "send the whole request again", "read request: %w", err))
			return
		case !utf8.Valid(body):
			writeError(w, fault.New(fault.Invalid, "encode the request in UTF-8", "the request is not valid UTF-8"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
