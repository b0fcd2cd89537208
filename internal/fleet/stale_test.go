package fleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fleet"
)

// An entry host that has lost all control hosts is no longer ready, so that other
// hosts get the packets. It still forwards those that reach it, and is ready again
// once a control host is back. Without the setting it stays ready.
func TestHostWithoutControlHostsIsNotReady(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	cfg := s.config(4, fleet.Entry, true)
	cfg.StaleMs = 2000
	s.startEntryWith(cfg)
	s.startEntry(5)
	s.put(1, 7)
	b := s.backend("1f")
	s.announce(1, b, "ready")
	s.waitReady(4)
	s.waitReady(5)
	s.stopControls()
	eventually(func() bool { return !s.isReady(4) })
	c.Assert(s.isReady(5), qt.IsTrue)
	s.sendTo(4, packet(1, 0))
	target, _ := b.receive(t)
	c.Assert(target, qt.Equals, uint64(0x1f))
	s.startControl(1, false)
	s.waitReady(4)
}
