package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/request"
	"greengagequay/internal/table"
)

func newRequest(method, body string) *request.Request {
	req := httptest.NewRequest(method, "http://svc/order", strings.NewReader(body))
	req.Header.Set("Idempotency-Key", "would make http.Transport retry the request")
	return &request.Request{HTTP: req, Attempt: "a1", Deadline: time.Now().Add(time.Minute), Body: request.NewBody(req.Body, 1024)}
}

func roundTrip(t *testing.T, transport http.RoundTripper, r *request.Request, addr string) (*http.Response, *sentBytes, error) {
	t.Helper()
	f := &Filter{Transport: transport, Clock: clock.Real{}}
	out, sent, err := f.newOutgoingRequest(context.Background(), r, table.Backend{Request: netip.MustParseAddrPort(addr)})
	qt.Assert(t, err, qt.IsNil)
	resp, err := transport.RoundTrip(out)
	return resp, sent, err
}

// TestTransportRepeatsNoRequest checks that a request is sent only once if its
// reused connection closes after the server has read it. http.Transport would
// retry a request whose body it can rewind.
func TestTransportRepeatsNoRequest(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
	}))
	defer server.Close()
	transport, addr := NewTransport(), server.Listener.Addr().String()
	resp, _, err := roundTrip(t, transport, newRequest("POST", ""), addr)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	_, sent, err := roundTrip(t, transport, newRequest("POST", ""), addr)
	c.Assert(err, qt.IsNotNil)
	c.Assert(sent.noneSent(), qt.IsFalse)
	c.Assert(runs.Load(), qt.Equals, int64(2))
}

func TestUnreachableServerProvesThatNothingRan(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	r := newRequest("POST", "x")
	_, sent, err := roundTrip(t, NewTransport(), r, addr)
	c.Assert(err, qt.IsNotNil)
	c.Assert(sent.noneSent(), qt.IsTrue)
	c.Assert(r.Body.Kept(), qt.IsTrue)
	f := &Filter{Clock: clock.Real{}}
	c.Assert(fault.KindOf(f.classify(r, err, true)), qt.Equals, fault.NotRun)
	c.Assert(fault.KindOf(f.classify(r, err, false)), qt.Equals, fault.OutcomeUnknown)
}

func TestCheckMatchesTheAttempt(t *testing.T) {
	f := &Filter{Clock: clock.Real{}}
	tests := []struct {
		name   string
		status int
		header map[string]string
		want   fault.Kind
	}{
		{"own answer", 200, map[string]string{request.HeaderAttempt: "a1"}, ""},
		{"no echo", 200, nil, ""},
		{"answer of another attempt", 200, map[string]string{request.HeaderAttempt: "a0"}, fault.OutcomeUnknown},
		{"refused by the backend server", 503, map[string]string{request.HeaderNotRun: "1"}, fault.NotRun},
		{"failed without stating that it did not run", 503, nil, ""},
		{"refusal of another attempt", 503, map[string]string{request.HeaderNotRun: "1", request.HeaderAttempt: "a0"}, fault.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp := &http.Response{StatusCode: test.status, Header: http.Header{}}
			for name, value := range test.header {
				resp.Header.Set(name, value)
			}
			err := f.checkAnswer(newRequest("POST", ""), resp)
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, fault.KindOf(err), qt.Equals, test.want)
		})
	}
}
