package fleet_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fleet"
)

// Guards against an answer that names another backend server than the one that the flow
// then reaches, and against errors that say neither what is known nor what to do.
func TestWhere(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.contracts, s.zones = []string{"places", "health"}, map[string]string{"z1": "r", "z2": "r"}
	s.startControls()
	s.put(1, 7)
	s.startEntry(4)
	own, other := s.backend("i-a1"), s.backend("i-b2")
	other.zone = "z2"
	s.announce(1, own, "ready")
	s.announce(1, other, "ready")
	s.waitReady(4)

	const query = "?caller=127.0.0.8:1000&route=198.18.0.1:443"
	var a fleet.WhereAnswer
	ask := func(query string) {
		a = fleet.WhereAnswer{}
		status, body := s.metricsCall(4, "GET", fleet.WherePath+query)
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		c.Assert(json.Unmarshal([]byte(body), &a), qt.IsNil)
	}
	eventually(func() bool { ask(query); return len(a.Candidates) == 2 })
	c.Assert(a.Decision, qt.Equals, fleet.WhereDecision{Verdict: "forward", Reason: "placed", Backend: "i-a1", Zone: "z1"})
	c.Assert(a.Route.Services, qt.DeepEquals, []fleet.WhereTarget{{Service: "orders", Weight: 1, Selected: true}})
	c.Assert(a.Version, qt.Equals, uint64(7))
	c.Assert(a.Ready, qt.IsTrue)
	c.Assert(a.Candidates[1].Rank, qt.Equals, "other zone")
	s.sendTo(4, packet(1000, 0))
	own.receive(t)

	eventually(func() bool { return s.controls[1].Evacuate(t.Context(), "z1", true) == nil })
	eventually(func() bool { ask("?service=orders&priority=2"); return len(a.Evacuations.Zones) == 1 })
	c.Assert(a.Decision.Backend, qt.Equals, "i-b2")
	c.Assert(a.Priority, qt.Equals, 2)
	c.Assert(a.Candidates[1].Reason, qt.Equals, "its zone is evacuated")

	tests := []struct {
		query  string
		status int
		want   string
	}{
		{"?caller=127.0.0.8:1000&route=198.18.0.9:1", http.StatusNotFound, `.*no route .*198\.18\.0\.9:1.*known: 198\.18\.0\.1:443.*`},
		{"?service=photos", http.StatusNotFound, ".*no service .*photos.*known: orders.*"},
		{"?caller=x&route=198.18.0.1:443", http.StatusBadRequest, ".*caller .*IP:PORT.*"},
		{"?route=198.18.0.1:443", http.StatusBadRequest, ".*caller .*IP:PORT.*"},
		{"?caller=127.0.0.8:1000", http.StatusBadRequest, ".*route and service.*"},
		{"?service=orders&priority=-1", http.StatusBadRequest, ".*priority .*whole number.*"},
		{"?service=orders&prio=1", http.StatusBadRequest, ".*unknown parameter .*prio.*"},
	}
	for _, tt := range tests {
		status, body := s.metricsCall(4, "GET", fleet.WherePath+tt.query)
		c.Check(status, qt.Equals, tt.status, qt.Commentf("%s", tt.query))
		c.Check(body, qt.Matches, `(?s)`+tt.want, qt.Commentf("%s", tt.query))
	}
}
