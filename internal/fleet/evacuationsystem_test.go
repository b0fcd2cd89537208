package fleet_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/feed"
	"greengagequay/internal/fleet"
	"greengagequay/platform/standin"
)

// metricsCall calls the metrics address of a host.
func (s *system) metricsCall(host int, method, path string) (int, string) {
	req, err := http.NewRequest(method, "http://"+s.addr(host, 3)+path, nil)
	qt.Assert(s.t, err, qt.IsNil)
	return sendRequest(req)
}

// evacuated returns the evacuated zones as a control host lists them once it is current.
func (s *system) evacuated(host int) (zones []string) {
	var list fleet.EvacuationList
	eventually(func() bool {
		status, body := s.metricsCall(host, "GET", fleet.EvacuationsPath)
		return status == http.StatusOK && json.Unmarshal([]byte(body), &list) == nil && list.Current
	})
	for _, z := range list.Zones {
		if z.Evacuated {
			zones = append(zones, z.Zone)
		}
	}
	return zones
}

// An evacuation outlives the loss of the leader, then of all control hosts at once, and
// a restart of the entry hosts. Guards also against flows of the zone that are cut off,
// and against invalid orders that have an effect or that the operator repeats.
func TestEvacuationOutlivesFailures(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.contracts, s.zones = []string{"places"}, map[string]string{"z1": "r", "z2": "r"}
	s.startControls()
	s.put(1, 7)
	s.startEntry(4)
	own, other := s.backend("i-a1"), s.backend("i-b2")
	other.zone = "z2"
	s.announce(1, own, "ready")
	s.announce(1, other, "ready")
	s.waitReady(4)
	for _, invalid := range standin.InvalidOrders() {
		status, body := s.call(1, "POST", invalid.Path, invalid.Body)
		c.Check(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%.80s", invalid.Path))
		c.Check(body, qt.Matches, `\{"error":".*(zone|body).*; .*"\}`)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // as if the order waited at a paused host until the operator gave up
	c.Assert(s.controls[1].Evacuate(ctx, "z1", true), qt.IsNotNil)
	c.Assert(s.evacuated(1), qt.HasLen, 0)
	s.sendTo(4, packet(1000, 0))
	_, opening := own.receive(t)
	open := packet(1000, binary.BigEndian.Uint32(opening))

	start := func(host int) bool {
		status, _ := s.call(host, "POST", standin.StartEvacuationPath("z1"), "")
		return status == http.StatusOK
	}
	eventually(func() bool { return start(2) })
	port := uint16(1000)
	eventually(func() bool { return s.onlyServes(4, other, &port) })
	s.sendTo(4, open)
	eventually(func() bool { // opening packets from before the order may be ahead of it
		_, p := own.receive(t)
		return string(p) == string(open)
	})

	lost := 0
	eventually(func() bool {
		lost++
		_, body := s.metricsCall(lost%3+1, "GET", "/metrics")
		return strings.Contains(body, "control.leads 1\n")
	})
	s.stopControl(lost%3 + 1)
	next := (lost+1)%3 + 1
	eventually(func() bool { return start(next) }) // again, since the acknowledgement may have been lost
	c.Assert(s.evacuated(next), qt.DeepEquals, []string{"z1"})
	s.stopControls()
	s.startControl(1, false)
	restored, _, _ := s.controls[1].Next(feed.Hello{}, feed.Cursor{})
	c.Assert(restored.Evacuations, qt.IsNotNil, qt.Commentf("a host with its disk sends its set without a quorum"))
	c.Assert(restored.Evacuations.Set.Evacuated(), qt.HasLen, 1)
	s.startControl(2, false)
	s.startControl(3, false)
	s.startEntry(7)                  // in the zone of host 4, without any state
	s.announceAfterRestart(1, other) // first, since host 7 is ready once it knows one backend server
	s.announceAfterRestart(1, own)
	s.waitReady(7)
	c.Assert(s.onlyServes(7, other, &port), qt.IsTrue)
	_ = own.conn.SetReadDeadline(time.Now().Add(openingWait))
	_, err := own.conn.Read(make([]byte, 2048))
	c.Assert(err, qt.IsNotNil, qt.Commentf("no packet reached the evacuated zone"))

	eventually(func() bool {
		status, _ := s.metricsCall(3, "DELETE", fleet.EvacuationsPath+"/z1")
		return status == http.StatusOK
	})
	eventually(func() bool { return s.onlyServes(7, own, &port) && s.onlyServes(4, own, &port) })
}
