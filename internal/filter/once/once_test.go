package once

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/homes"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/request"
)

// decided answers each Begin with the same decision.
type decided idempotency.Decision

func (d decided) Begin(context.Context, string, string, time.Time, time.Time) (*homes.KeyedRequest, idempotency.Decision) {
	return nil, idempotency.Decision(d)
}

// neverRuns fails the test if a request gets past the filter.
type neverRuns struct{ t *testing.T }

func (n neverRuns) Handle(*request.Request) error {
	n.t.Error("the request ran")
	return nil
}

// Only a decision that rules out an earlier run may lead to an error that says
// that the request did not run.
func TestRefusalsDoNotDenyAnEarlierRun(t *testing.T) {
	tests := []struct {
		verdict idempotency.Verdict
		want    fault.Kind
	}{
		{idempotency.NotHome, fault.Unavailable}, // the records may tell of an earlier run
		{idempotency.Running, fault.StillRunning},
		{idempotency.Unknown, fault.OutcomeUnknown},
		{idempotency.Busy, fault.Limited}, // there is no record of the key
		{idempotency.Invalid, fault.Invalid},
	}
	for _, tt := range tests {
		t.Run(string(tt.want), func(t *testing.T) {
			f := &Filter{Records: decided{Verdict: tt.verdict}}
			r := &request.Request{HTTP: httptest.NewRequest("POST", "/", nil), Key: "k1", Customer: "c1"}
			err := f.Handle(r, neverRuns{t})
			qt.Assert(t, fault.KindOf(err), qt.Equals, tt.want)
		})
	}
}
