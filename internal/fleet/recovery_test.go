package fleet_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/codec"
	"greengagequay/internal/feed"
	"greengagequay/internal/fleet"
	"greengagequay/platform"
)

// metric returns the value of a counter of a host, or "" if it has no such counter.
func (s *system) metric(host int, name string) string {
	req, err := http.NewRequest("GET", "http://"+s.addr(host, 3)+"/metrics", nil)
	qt.Assert(s.t, err, qt.IsNil)
	_, body := sendRequest(req)
	for line := range strings.Lines(body) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// waitForHint waits until a hint file of a control host contains a text.
func (s *system) waitForHint(host int, name, text string) {
	eventually(func() bool {
		data, _ := os.ReadFile(filepath.Join(s.folder, fmt.Sprint(host), name))
		return strings.Contains(string(data), text)
	})
}

// Guards against openings that take until the caller's next copy because their first
// packet came before the host knew where to send it.
func TestPacketsBeforeTheFirstControlHostAreDelivered(t *testing.T) {
	s := newSystem(t)
	s.contracts = []string{"health"}
	s.startControls()
	s.put(1, 7)
	b := s.backend("i-a1")
	s.announce(1, b, "ready")
	for host := 1; host <= 3; host++ {
		s.waitForHint(host, "backends.hint", "i-a1")
	}
	port := uint16(1000)
	eventually(func() bool { // on a machine that is so slow that the packet expires, try again
		s.stopControls()
		port++
		entry, err := fleet.StartEntry(s.config(4, fleet.Entry, false), platform.Adapter{}, s.log)
		qt.Assert(t, err, qt.IsNil)
		defer entry.Stop()
		s.sendTo(4, packet(port, 0))
		eventually(func() bool { return s.metric(4, "packets.held") == "1" })
		s.restartControls()
		s.waitReady(4)
		eventually(func() bool {
			return s.metric(4, "packets.held_released") == "1" || s.metric(4, "packets.held_expired") == "1"
		})
		if s.metric(4, "packets.held_expired") == "1" {
			return false
		}
		target, _ := b.receive(t)
		qt.Assert(t, target, qt.Equals, uint64(0xa1))
		return true
	})
}

// Guards against entry hosts that wait for their seeds while another control host runs.
func TestControlHostInvitesEntryHostsWhoseSeedsAreDown(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.contracts = []string{"health"}
	s.startControls()
	s.startControl(6, false)
	s.put(1, 7)
	b := s.backend("i-a1")
	s.announce(1, b, "ready")
	entry, err := fleet.StartEntry(s.config(5, fleet.Entry, false), platform.Adapter{}, s.log)
	c.Assert(err, qt.IsNil)
	s.waitReady(5)
	s.waitForHint(6, "entries.hint", s.addr(5, 4))
	s.waitForHint(6, "backends.hint", "i-a1")
	c.Assert(s.get(6), qt.Equals, document(7))
	entry.Stop()
	s.stopControls()

	s.startEntry(5)
	s.startControl(6, false)
	s.waitReady(5)
	s.sendTo(5, packet(1000, 0))
	target, _ := b.receive(t)
	c.Assert(target, qt.Equals, uint64(0xa1))

	invitation, err := codec.Marshal(feed.HostInfo{Name: "other", Addr: "127.0.0.9:1", Control: true})
	c.Assert(err, qt.IsNil)
	conn, err := net.Dial("udp", s.addr(5, 4))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	ignored := s.metric(5, "invitations.ignored")
	eventually(func() bool {
		_, _ = conn.Write(invitation)
		_, _ = conn.Write([]byte("garbage"))
		return s.metric(5, "invitations.ignored") != ignored && s.metric(5, "invitations.malformed") != "0"
	})
}

// Guards against changes in deployments that do not ask for the fast start.
func TestWithoutFastStart(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startEntry(4)
	s.sendTo(4, packet(1000, 0))
	eventually(func() bool { return s.metric(4, "packets.no_state") == "1" })
	c.Assert(s.metric(4, "packets.held"), qt.Equals, "")
	conn, err := net.ListenPacket("udp", s.addr(4, 4))
	c.Assert(err, qt.IsNil, qt.Commentf("the host does not listen for invitations"))
	_ = conn.Close()
	s.startControls()
	s.put(1, 7)
	b := s.backend("i-a1")
	s.announce(1, b, "ready")
	s.waitReady(4)
	s.sendTo(4, packet(1001, 0))
	_, opening := b.receive(t)
	c.Assert(opening[4:6], qt.DeepEquals, packet(1001, 0)[4:6], qt.Commentf("the earlier packet was dropped"))
	s.waitForHint(1, "backends.hint", "i-a1")
	_, err = os.Stat(filepath.Join(s.folder, "1", "entries.hint"))
	c.Assert(os.IsNotExist(err), qt.IsTrue)
}
