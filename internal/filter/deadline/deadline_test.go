package deadline

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/request"
)

// untilDone waits for the end of the request's context and records why it ended.
type untilDone struct {
	mu     sync.Mutex
	causes []error
}

func (u *untilDone) Handle(r *request.Request) error {
	<-r.HTTP.Context().Done()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.causes = append(u.causes, r.HTTP.Context().Err())
	return nil
}

// A request whose deadline passes ends by its deadline, and does not look as if
// its caller had cancelled it, also if it has no body and so is watched for the
// end of its connection.
func TestDeadlineIsNotTakenForCancellation(t *testing.T) {
	c := qt.New(t)
	ends := &untilDone{}
	f := &Filter{Clock: clock.Real{}, MaxTimeout: time.Minute}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = f.Handle(&request.Request{Writer: w, HTTP: r}, ends)
	}))
	defer server.Close()
	const requests = 60
	var done sync.WaitGroup
	for range requests {
		done.Go(func() {
			req, err := http.NewRequest("GET", server.URL, nil)
			c.Check(err, qt.IsNil)
			req.Header.Set(request.HeaderTimeout, "50ms")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	done.Wait()
	c.Assert(ends.causes, qt.HasLen, requests)
	cancelled := 0
	for _, cause := range ends.causes {
		if cause != context.DeadlineExceeded {
			cancelled++
		}
	}
	c.Assert(cancelled, qt.Equals, 0, qt.Commentf("of %d requests", requests))
}
