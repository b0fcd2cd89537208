package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
	"greengagequay/internal/fleet"
)

// Guards against candidates left out without a word, parameters that do not reach the
// host, and errors of the host or of a wrong address without their remedy.
func TestWhere(t *testing.T) {
	c := qt.New(t)
	a := fleet.WhereAnswer{Host: "h4", Service: "orders", Decision: fleet.WhereDecision{Verdict: "forward", Reason: "placed", Backend: "x00"}}
	for n := range 12 {
		a.Candidates = append(a.Candidates, fleet.WhereCandidate{ID: fmt.Sprintf("x%02d", n), Rank: "own zone", Share: 16})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+fleet.WherePath, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "priority=1&service=orders" {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(fleet.ErrorBody{Kind: fault.NotFound, Message: "asked for " + r.URL.RawQuery, Remedy: "ask again"})
			return
		}
		_ = json.NewEncoder(w).Encode(a)
	})
	s, empty := httptest.NewServer(mux), httptest.NewServer(http.NewServeMux())
	defer s.Close()
	defer empty.Close()
	run := func(s *httptest.Server, args ...string) (int, string, string) {
		return quayctl(strings.TrimPrefix(s.URL, "http://"), append([]string{"where"}, args...)...)
	}

	code, out, _ := run(s, "--service", "orders", "--priority", "1")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Matches, `(?s)decision +forward placed x00\n.*x09.*\n2 more; .*`)
	c.Assert(out, qt.Not(qt.Contains), "x10")
	_, out, _ = run(s, "--service", "orders", "--priority", "1", "--all")
	c.Assert(out, qt.Contains, "x11")
	_, out, _ = run(s, "--service", "orders", "--priority", "1", "-o", "json")
	var got fleet.WhereAnswer
	c.Assert(json.Unmarshal([]byte(out), &got), qt.IsNil)
	c.Assert(got.Candidates, qt.HasLen, maxCandidates)
	c.Assert(got.Omitted, qt.Equals, 2)

	code, _, errOut := run(s, "--caller", "1.2.3.4:5", "--route", "6.7.8.9:10")
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Equals, "quayctl: asked for caller=1.2.3.4%3A5&route=6.7.8.9%3A10\nremedy: ask again\n")
	_, _, errOut = run(empty, "--service", "orders")
	c.Assert(errOut, qt.Matches, `(?s).*explains no placements.*remedy: .*entry host.*`)
	code, _, _ = run(s, "--caller", "1.2.3.4:5")
	c.Assert(code, qt.Equals, exitUsage)
}

// Guards against an answer for hosts of quayd run that names no backend server, or
// another one than the table has.
func TestWhereByBucket(t *testing.T) {
	c := qt.New(t)
	server := startHost(t)
	set := func(key, value string) {
		code, _, errOut := quayctl(server, "settings", "set", "/pantanir", key, value)
		c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	}
	set("service.zones", `["rvk-a"]`)
	set("service.addresses", `["203.0.113.10:443/tcp"]`)
	where := []string{"where", "--buckets", "--caller", "100.64.0.1:40000", "--route", "203.0.113.10:443"}
	code, out, errOut := quayctl(server, where...)
	for code != exitOK || strings.Contains(out, "no_backend") { // until the placement has the backend server
		_, err := callAPI(&env{Globals: Globals{Server: server, Timeout: time.Minute}, ctx: t.Context()}, func(client *api.Client, ctx context.Context) (*api.AnnouncementResult, error) {
			return client.Announce(ctx, &api.Announcement{
				ID: "pantanir-1", Service: "pantanir", Zone: "rvk-a", State: api.AnnouncementStateReady, Incarnation: 1,
				PacketAddress: api.NewOptString("127.0.0.1:9"), RequestAddress: api.NewOptString("127.0.0.1:9"),
			})
		})
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		code, out, errOut = quayctl(server, where...)
	}
	c.Assert(out, qt.Matches, `(?s)decision +forward +pantanir-1\n.*bucket .* of service pantanir, phase stable.*\n1 +pantanir-1 .*has all flows\n`, qt.Commentf("%s", errOut))
	code, _, errOut = quayctl(server, append(where, "--protocol", "udp")...)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Matches, `(?s).*no service has the address udp 203.0.113.10:443.*remedy: .*`)
}
