package apiserver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/api"
	"greengagequay/internal/apiserver"
	"greengagequay/internal/clock"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/state"
)

// submissions counts the changes and announcements that were accepted.
type submissions struct {
	apiserver.Submitter
	n int
}

func (s *submissions) Submit(context.Context, state.Change) (state.Result, error) {
	s.n++
	return state.Result{Revision: 1}, nil
}

func (s *submissions) Announce(context.Context, model.Backend) (time.Duration, error) {
	s.n++
	return time.Second, nil
}

// Guards against text that API answers and messages between hosts can't carry.
func TestCallsThatAreNoUTF8AreRejected(t *testing.T) {
	c := qt.New(t)
	submitted := &submissions{}
	generated, err := api.NewServer(&apiserver.Server{Replica: replica.New(), Submit: submitted, Clock: clock.Real{}})
	c.Assert(err, qt.IsNil)
	handler := apiserver.RequireStrictJSON(generated, request.WriteError)
	calls := []struct{ path, body string }{
		{"/v1/changes", `{"id":"x","message":"?","ops":[{"action":"set","path":"/","key":"request.queue","value":"3"}]}`},
		{"/v1/announcements", `{"id":"p1?","service":"s","zone":"a","state":"ready","incarnation":1,"packetAddress":"10.0.0.1:80"}`},
	}
	for _, call := range calls {
		for text, want := range map[string]int{
			"e": http.StatusOK, "\xff": http.StatusBadRequest, `\ud800`: http.StatusBadRequest, `","id":"y`: http.StatusBadRequest,
		} {
			submitted.n = 0
			r := httptest.NewRequest("POST", call.path, strings.NewReader(strings.Replace(call.body, "?", text, 1)))
			r.Header.Set("Content-Type", "application/json")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			c.Check(w.Code, qt.Equals, want, qt.Commentf("%s %q: %s", call.path, text, w.Body))
			c.Check(submitted.n == 1, qt.Equals, want == http.StatusOK)
		}
	}
}
