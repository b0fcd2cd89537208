package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an order that reaches another zone than the one named, and against a
// rejected order that looks accepted.
func TestEvacuations(t *testing.T) {
	c := qt.New(t)
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.EscapedPath())
		switch {
		case r.Method == http.MethodGet:
			fmt.Fprint(w, `{"current":true,"revision":7,"zones":[{"zone":"rvk-a","evacuated":true,"since":"2026-12-06T07:00:00Z","revision":7,"by":"c1"}]}`)
		case strings.HasSuffix(r.URL.Path, "rvk-x"):
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprint(w, `{"kind":"invalid","message":"no zone rvk-x","remedy":"name another"}`)
		}
	}))
	defer server.Close()
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := Main(context.Background(), append([]string{"--server", server.Listener.Addr().String(), "evacuations"}, args...), &out, &out)
		return code, out.String()
	}
	code, out := run("list")
	c.Check(code, qt.Equals, exitOK)
	c.Check(out, qt.Matches, `(?s).*rvk-a +true +2026-12-06T07:00:00Z +7 +c1 +true\n`)
	code, _ = run("start", "a/b c")
	c.Check(code, qt.Equals, exitOK)
	code, _ = run("end", "rvk-a")
	c.Check(code, qt.Equals, exitOK)
	code, out = run("start", "rvk-x")
	c.Check(code, qt.Equals, exitFailure)
	c.Check(out, qt.Equals, "quayctl: no zone rvk-x\nremedy: name another\n")
	c.Check(calls, qt.DeepEquals, []string{"GET /evacuations", "POST /evacuations/a%2Fb%20c", "DELETE /evacuations/rvk-a", "POST /evacuations/rvk-x"})
}
