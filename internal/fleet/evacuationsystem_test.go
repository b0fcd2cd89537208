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

func newSystemWithEvacuations(t *testing.T) *system {
	s := newSystem(t)
	s.contracts, s.zones = []string{"places"}, map[string]string{"z1": "r", "z2": "r"}
	return s
}

// order sends an order about a zone until a control host accepts it.
func (s *system) order(host int, path string) {
	eventually(func() bool {
		status, _ := s.call(host, "POST", path, "")
		return status == http.StatusOK
	})
}

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

// leader returns the control host that leads.
func (s *system) leader() (leader int) {
	eventually(func() bool {
		for host := range s.controls {
			if _, body := s.metricsCall(host, "GET", "/metrics"); strings.Contains(body, "control.leads 1\n") {
				leader = host
			}
		}
		return leader != 0
	})
	return leader
}

// receivesNothing reports whether no packet waits at a backend server.
func (b *backend) receivesNothing() bool {
	_ = b.conn.SetReadDeadline(time.Now().Add(openingWait))
	_, err := b.conn.Read(make([]byte, 2048))
	return err != nil
}

// An evacuation outlives the loss of the leader, then of all control hosts at once, and
// a restart of the entry hosts. Guards also against flows of the zone that are cut off.
func TestEvacuationOutlivesFailures(t *testing.T) {
	c := qt.New(t)
	s := newSystemWithEvacuations(t)
	s.startControls()
	s.startEntry(4)
	s.put(1, 7)
	own, other := s.backend("i-a1"), s.backend("i-b2")
	other.zone = "z2"
	s.announce(1, own, "ready")
	s.announce(1, other, "ready")
	s.waitReady(4)
	s.sendTo(4, packet(1000, 0))
	_, opening := own.receive(t)
	open := packet(1000, binary.BigEndian.Uint32(opening))

	s.order(2, standin.StartEvacuationPath("z1"))
	port := uint16(1000)
	eventually(func() bool { return s.onlyServes(4, other, &port) })
	s.sendTo(4, open)
	eventually(func() bool { // opening packets from before the order may be ahead of it
		_, p := own.receive(t)
		return string(p) == string(open)
	})

	lost := s.leader()
	s.stopControl(lost)
	next := lost%3 + 1
	s.order(next, standin.StartEvacuationPath("z1")) // again: the acknowledgement may have been lost
	c.Assert(s.evacuated(next), qt.DeepEquals, []string{"z1"})
	for host := 1; host <= 3; host++ {
		s.stopControl(host)
	}
	for host := 1; host <= 3; host++ {
		s.startControl(host, false)
	}
	for host := 1; host <= 3; host++ {
		c.Assert(s.evacuated(host), qt.DeepEquals, []string{"z1"})
	}
	s.startEntry(7) // in the zone of host 4, without any state
	s.announce(1, own, "ready")
	s.announce(1, other, "ready")
	c.Assert(own.receivesNothing(), qt.IsTrue)
	s.waitReady(7)
	c.Assert(s.onlyServes(7, other, &port), qt.IsTrue)
	c.Assert(own.receivesNothing(), qt.IsTrue)

	eventually(func() bool {
		status, _ := s.metricsCall(3, "DELETE", fleet.EvacuationsPath+"/z1")
		return status == http.StatusOK
	})
	eventually(func() bool { return s.onlyServes(7, own, &port) && s.onlyServes(4, own, &port) })
	_, body := s.metricsCall(3, "GET", "/metrics")
	c.Assert(body, qt.Contains, "evacuations.orders 1\n")
	c.Assert(body, qt.Contains, "evacuations.zones 0\n")
}

// Guards against a control host that lets an entry host place flows although its disk may
// lack the latest orders.
func TestOrdersAreSentOnlyOnceTheyAreCurrent(t *testing.T) {
	c := qt.New(t)
	s := newSystemWithEvacuations(t)
	s.startControls()
	s.put(1, 7)
	s.order(1, standin.StartEvacuationPath("z1"))
	c.Assert(s.evacuated(1), qt.DeepEquals, []string{"z1"})
	for host := 1; host <= 3; host++ {
		s.stopControl(host)
	}
	s.startControl(1, false) // reaches no quorum
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := updates(make(chan feed.Update, 100))
	_, err := feed.Follow(ctx, feed.Target{DialAddr: s.addr(1, 4), Timeout: time.Second}, feed.HostInfo{Name: "e"}, received)
	c.Assert(err, qt.IsNil)
	for u := range received {
		c.Assert(u.Evacuations, qt.IsNil)
		if u.Document != nil {
			break
		}
	}
	s.startControl(2, false)
	for u := range received {
		if u.Evacuations != nil {
			c.Assert(u.Evacuations.Set.Evacuated(), qt.HasLen, 1)
			break
		}
	}
}

// updates is a sink that queues updates.
type updates chan feed.Update

func (u updates) ConnectionChanged(string, bool)       {}
func (u updates) FrameFailed(string, error)            {}
func (u updates) Updated(_ string, update feed.Update) { u <- update }

// Guards against an invalid order that has an effect, or that the operator repeats.
func TestInvalidOrdersChangeNothing(t *testing.T) {
	c := qt.New(t)
	s := newSystemWithEvacuations(t)
	s.startControls()
	s.put(1, 7)
	for _, invalid := range standin.InvalidOrders() {
		for host := 1; host <= 3; host++ {
			status, body := s.call(host, "POST", invalid.Path, invalid.Body)
			c.Check(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%.80s", invalid.Path))
			c.Check(body, qt.Matches, `\{"error":".*(zone|body).*; .*"\}`)
		}
	}
	status, _ := s.metricsCall(1, "POST", fleet.EvacuationsPath+"/z9")
	c.Check(status, qt.Equals, http.StatusBadRequest)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // as if the order waited at a paused host until the operator gave up
	c.Assert(s.controls[1].Evacuate(ctx, "z1", true), qt.IsNotNil)
	c.Assert(s.evacuated(1), qt.HasLen, 0)
}
