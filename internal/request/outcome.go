package request

import (
	"encoding/json"
	"net/http"

	"greengagequay/internal/fault"
)

// Answered is the outcome of a request that received its answer.
const Answered = "answered"

// Cut is the outcome of a request whose answer was cut off. The caller sees a
// connection error.
const Cut = "cut"

// problem is the JSON body of an answer that reports an error.
type problem struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}

// StatusOf returns the HTTP status of an error kind.
func StatusOf(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.Conflict, fault.StillRunning:
		return http.StatusConflict
	case fault.Limited:
		return http.StatusTooManyRequests
	case fault.NotRun, fault.NoBackend, fault.Unavailable, fault.NotCurrent:
		return http.StatusServiceUnavailable
	case fault.DeadlineExceeded, fault.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// WriteError answers the caller with an error.
func WriteError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Kind))
	switch e.Kind {
	case fault.Limited, fault.NotRun, fault.NoBackend, fault.Unavailable:
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(StatusOf(e.Kind))
	_ = json.NewEncoder(w).Encode(problem{Kind: e.Kind, Message: e.Message, Remedy: e.Remedy})
}
