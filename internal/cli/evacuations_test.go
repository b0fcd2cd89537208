package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// controlHost is a stand-in for the metrics address of a control host. It records the
// calls and answers each with the same status and body.
type controlHost struct {
	status int
	body   string
	calls  []string
}

func (h *controlHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.calls = append(h.calls, r.Method+" "+r.URL.EscapedPath())
	w.WriteHeader(h.status)
	fmt.Fprint(w, h.body)
}

// Guards against an order that reaches another zone or has the other direction, and
// against a rejected order that looks accepted or whose remedy is lost.
func TestEvacuations(t *testing.T) {
	for _, test := range []struct {
		args, call  string
		status      int
		body        string
		code        int
		out, errOut string
	}{
		{args: "start z/1", call: "POST /evacuations/z%2F1", status: 200, out: `z/1 +true\n`},
		{args: "end z1", call: "DELETE /evacuations/z1", status: 200, out: `z1 +false\n`},
		{
			args: "list", call: "GET /evacuations", status: 200,
			body: `{"current":true,"revision":9,"zones":[{"zone":"z1","evacuated":true,"since":"2026-01-02T03:04:05Z","revision":9,"by":"c1"}]}`,
			out:  `z1 +true +2026-01-02T03:04:05Z +9 +c1 +true\n`,
		},
		{args: "list", call: "GET /evacuations", status: 200, body: `{"zones":[`, code: exitFailure, errOut: "run the command again"},
		{
			args: "start z1", call: "POST /evacuations/z1", status: 409, code: exitFailure,
			body: `{"kind":"conflict","message":"zone \"z1\" had a later order","remedy":"read the evacuations"}`, errOut: `had a later order\nremedy: read the evacuations`,
		},
		{args: "end z1", call: "DELETE /evacuations/z1", status: 502, body: "no JSON", code: exitFailure, errOut: `status 502\nremedy: try another`},
		{args: "start z1", call: "POST /evacuations/z1", status: 404, code: exitFailure, errOut: "whose contracts include evacuations"},
	} {
		t.Run(test.args+"/"+fmt.Sprint(test.status), func(t *testing.T) {
			c := qt.New(t)
			host := &controlHost{status: test.status, body: test.body}
			server := httptest.NewServer(host)
			defer server.Close()
			code, out, errOut := quayctl(strings.TrimPrefix(server.URL, "http://"), append([]string{"evacuations"}, strings.Fields(test.args)...)...)
			c.Assert(code, qt.Equals, test.code, qt.Commentf("%s", errOut))
			c.Assert(host.calls, qt.DeepEquals, []string{test.call})
			if test.code == exitOK {
				c.Assert(out, qt.Matches, `(?s).*\n`+test.out)
				c.Assert(errOut, qt.Equals, "")
				return
			}
			c.Assert(out, qt.Equals, "")
			c.Assert(errOut, qt.Matches, `(?s).*`+test.errOut+`.*`)
		})
	}
}
