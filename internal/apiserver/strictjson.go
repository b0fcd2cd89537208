package apiserver

import (
	"bytes"
	"io"
	"net/http"

	"greengagequay/internal/fault"
	"greengagequay/internal/strictjson"
)

// maxBodyBytes limits the body of a call. A settings file of thousands of services
// fits.
const maxBodyBytes = 16 << 20

// RequireStrictJSON rejects calls whose body is no JSON text by package strictjson. The
// generated decoder accepts bytes that are no UTF-8, and of a field that is there twice
// the last one.
func RequireStrictJSON(next http.Handler, writeError func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, fault.New(fault.Invalid, "send the whole request again", "read request: %w", err))
			return
		}
		if err := checkBody(body); err != nil {
			writeError(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// checkBody checks the body of a call, which may be empty.
func checkBody(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	if err := strictjson.Check(body); err != nil {
		return fault.New(fault.Invalid, "send JSON in UTF-8 without duplicate fields", "parse request: %w", err)
	}
	return nil
}
