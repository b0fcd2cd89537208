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

// losingServer commits changes but loses the first answers.
type losingServer struct {
	api.UnimplementedHandler
	mu        sync.Mutex
	committed map[string]int64
}

func (s *losingServer) SubmitChange(_ context.Context, req *api.ChangeRequest) (*api.ChangeResult, error) {
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

func (s *losingServer) NewError(context.Context, error) *api.ErrorStatusCode {
	return &api.ErrorStatusCode{StatusCode: http.StatusInternalServerError}
}

// serve starts the server. The answers of the first calls are cut off.
func (s *losingServer) serve(t *testing.T, lost int) string {
	handler, err := api.NewServer(s)
	qt.Assert(t, err, qt.IsNil)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lost <= 0 {
			handler.ServeHTTP(w, r)
			return
		}
		lost--
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

func TestLostAnswerIsAskedForAgain(t *testing.T) {
	c := qt.New(t)
	s := &losingServer{committed: map[string]int64{}}
	server := s.serve(t, 2)
	code, out, errOut := quayctl(server, "settings", "set", "/", "request.queue", "3")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Contains, "true") // answered as repeated
	c.Assert(s.committed, qt.HasLen, 1)
}

func TestChangeWithoutAnyAnswerNamesItsID(t *testing.T) {
	c := qt.New(t)
	s := &losingServer{committed: map[string]int64{}}
	server := s.serve(t, 1000)
	code, _, errOut := quayctl(server, "--timeout", "50ms", "settings", "set", "--id", "mine", "/", "request.queue", "3")
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Contains, "--id mine")
}
