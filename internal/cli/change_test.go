package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/api"
)

// lossyServer commits changes. The responses to the first calls never reach the
// client.
type lossyServer struct {
	api.UnimplementedHandler
	mu        sync.Mutex
	committed map[string]int64
}

func (s *lossyServer) SubmitChange(_ context.Context, req *api.ChangeRequest) (*api.ChangeResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, known := s.committed[req.ID]
	if !known {
		revision = int64(len(s.committed) + 1)
		s.committed[req.ID] = revision
	}
	res := &api.ChangeResult{ID: req.ID, Revision: revision}
	res.Repeated.SetTo(known)
	return res, nil
}

func (s *lossyServer) NewError(context.Context, error) *api.ErrorStatusCode {
	return &api.ErrorStatusCode{StatusCode: http.StatusInternalServerError}
}

// serve starts the server and returns its address. For the first n calls
// it executes the request and closes the connection without a response.
func (s *lossyServer) serve(t *testing.T, n int) string {
	handler, err := api.NewServer(s)
	qt.Assert(t, err, qt.IsNil)
	httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n <= 0 {
			handler.ServeHTTP(w, r)
			return
		}
		n--
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(httpServer.Close)
	return strings.TrimPrefix(httpServer.URL, "http://")
}

func TestLostAnswerIsAskedForAgain(t *testing.T) {
	c := qt.New(t)
	s := &lossyServer{committed: map[string]int64{}}
	server := s.serve(t, 2)
	code, out, errOut := quayctl(server, "settings", "set", "/", "request.queue", "3")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Contains, "true") // the server reports the change as repeated
	c.Assert(s.committed, qt.HasLen, 1)
}

func TestChangeWithoutAnyAnswerNamesItsID(t *testing.T) {
	c := qt.New(t)
	s := &lossyServer{committed: map[string]int64{}}
	server := s.serve(t, 1000)
	code, _, errOut := quayctl(server, "--timeout", "50ms", "settings", "set", "--id", "mine", "/", "request.queue", "3")
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Contains, "--id mine")
}
