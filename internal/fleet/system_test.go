package fleet_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/raft"
	"greengagequay/internal/wal"
	"greengagequay/platform/standin"
)

// TestWholePath covers a document, announcements, a flow over two entry hosts, and
// a draining backend server.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.startEntry(4)
	s.startEntry(5)
	s.put(1, 7)
	c.Assert(s.get(2), qt.Equals, document(7))
	first := s.backend("i-a1")
	s.announce(3, first, "ready")
	s.waitReady(4)
	s.waitReady(5)

	s.sendTo(4, packet(1000, 0))
	target, opening := first.receive(t)
	c.Assert(target, qt.Equals, uint64(0xa1))
	token := binary.BigEndian.Uint32(opening)
	c.Assert(token, qt.Not(qt.Equals), uint32(0))
	s.sendTo(5, packet(1000, token))
	_, next := first.receive(t)
	c.Assert(next, qt.DeepEquals, packet(1000, token), qt.Commentf("a packet with a token is forwarded unchanged"))

	second := s.backend("i-b2")
	s.announce(1, second, "ready")
	s.announce(2, first, "draining")
	port := uint16(2000)
	eventually(func() bool { // until entry host 4 places new flows on the second backend server
		port++
		s.sendTo(4, packet(port, 0))
		_ = second.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := second.conn.Read(make([]byte, 2048))
		return err == nil
	})
	s.sendTo(5, packet(1000, token))
	eventually(func() bool { // the open flow stays on the first backend server; opening packets may arrive before its packet
		_, p := first.receive(t)
		return bytes.Equal(p, packet(1000, token))
	})
}

// A control host that lost its disk restarts with an empty data folder, and the
// others replace the former member by it. After that another control host may
// lose its disk.
func TestDisksAreLostOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 1)
	for host := 1; host <= 3; host++ {
		s.stopControl(host)
		c.Assert(os.RemoveAll(filepath.Join(s.folder, fmt.Sprint(host))), qt.IsNil)
		s.startControl(host, false)
		eventually(func() bool { return s.controls[host].Votes() })
		s.put(host, host+1)
	}
	for host := 1; host <= 3; host++ {
		c.Assert(s.get(host), qt.Equals, document(4))
	}
}

// A host whose log on disk is damaged does not fail at each restart: it moves the
// log aside and joins as a new member.
func TestDamagedLogIsSetAside(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 1)
	s.put(1, 2)
	s.stopControl(2)
	segments, err := filepath.Glob(filepath.Join(s.folder, "2", "log-*"))
	c.Assert(err, qt.IsNil)
	c.Assert(segments, qt.HasLen, 1)
	data, err := os.ReadFile(segments[0])
	c.Assert(err, qt.IsNil)
	data[len(data)/2] ^= 0xff
	c.Assert(os.WriteFile(segments[0], data, 0o600), qt.IsNil)
	s.startControl(2, false)
	eventually(func() bool { return s.controls[2].Votes() })
	c.Assert(s.get(2), qt.Equals, document(2))
	damaged, err := filepath.Glob(filepath.Join(s.folder, "2", "damaged-log-*"))
	c.Assert(err, qt.IsNil)
	c.Assert(damaged, qt.HasLen, 1)
}

// Guards against a host that votes twice in a term because it was stopped right after it
// had set its log aside, and then starts as at the first start of the deployment.
func TestHostThatSetItsLogAsideIsANewMember(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 1)
	s.stopControl(2)
	before := s.identity(c, 2)
	s.setAside(c, 2)
	s.startControl(2, true)
	eventually(func() bool { return s.controls[2].Votes() })
	c.Assert(s.get(2), qt.Equals, document(1))
	s.stopControl(2)
	c.Assert(s.identity(c, 2), qt.Not(qt.Equals), before)
}

// identity returns the identity in the data folder of a control host that does not run.
func (s *system) identity(c *qt.C, host int) raft.ID {
	log, stored, err := wal.Open(s.dataFolder(c, host), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(log.Close(), qt.IsNil)
	return stored.ID
}

// setAside sets the log of a control host aside that does not run.
func (s *system) setAside(c *qt.C, host int) {
	_, err := wal.SetAside(s.dataFolder(c, host))
	c.Assert(err, qt.IsNil)
}

func (s *system) dataFolder(c *qt.C, host int) wal.Disk {
	folder, err := wal.OpenFolder(filepath.Join(s.folder, fmt.Sprint(host)))
	c.Assert(err, qt.IsNil)
	return folder
}

// Guards against a procedure in docs/OPERATIONS.md that does not work: two of three hosts
// have set sound logs aside, and an operator puts them back.
func TestLogsThatWereSetAsideArePutBack(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 5)
	s.stopControls()
	for host := 2; host <= 3; host++ {
		s.setAside(c, host)
	}
	s.restartControls()
	status, _ := s.call(1, "GET", standin.GetPath, "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	s.stopControls()
	for host := 2; host <= 3; host++ {
		putBack(c, filepath.Join(s.folder, fmt.Sprint(host)))
	}
	s.restartControls()
	c.Assert(s.get(2), qt.Equals, document(5))
	s.put(3, 6)
}

// putBack replaces the log in a data folder by the one that was set aside.
func putBack(c *qt.C, folder string) {
	for _, pattern := range []string{"identity", "snapshot-*", "log-*"} {
		current, err := filepath.Glob(filepath.Join(folder, pattern))
		c.Assert(err, qt.IsNil)
		for _, path := range current {
			c.Assert(os.Remove(path), qt.IsNil)
		}
		damaged, err := filepath.Glob(filepath.Join(folder, "damaged-"+pattern))
		c.Assert(err, qt.IsNil)
		for _, path := range damaged {
			name := strings.TrimPrefix(filepath.Base(path), "damaged-")
			c.Assert(os.Rename(path, filepath.Join(folder, name)), qt.IsNil)
		}
	}
}

// A fourth control host joins as a learner and becomes a voter once a voter is
// lost.
func TestLostHostIsReplaced(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 1)
	s.startControl(6, false)
	s.stopControl(2)
	eventually(func() bool { return s.controls[6].Votes() })
	s.put(6, 2)
	c.Assert(s.get(3), qt.Equals, document(2))
}

// Without a quorum a control host refuses to commit documents and to read the
// document, but accepts announcements.
func TestNoQuorum(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 1)
	s.stopControl(2)
	s.stopControl(3)
	status, _ := s.call(1, "GET", standin.GetPath, "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = s.call(1, "POST", standin.PutPath, document(2))
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	first := s.backend("i-a1")
	s.announce(1, first, "ready") // announcements need no quorum
	s.startControl(2, false)
	s.put(2, 3)
	c.Assert(s.get(1), qt.Equals, document(3))
}

// Guards against drains without effect because a record makes the feeds undecodable.
func TestDrainBesideARecordThatIsNoUTF8(t *testing.T) {
	s := newSystem(t)
	s.startControls()
	s.startEntry(4)
	s.put(1, 7)
	leaving, staying := s.backend("i-a1"), s.backend("i-b2")
	s.announce(1, leaving, "ready")
	s.announce(1, staying, "ready")
	s.waitReady(4)
	record := catalog.Heartbeat{ID: "i-\xff", Service: "orders", Address: standin.LocalAddr(s.backend("i-c3").conn), Zone: "z2", Born: 1}
	eventually(func() bool { return s.controls[1].Announce(record) == nil }) // past the checks of the platform
	s.announce(1, leaving, "draining")
	port := uint16(1000)
	eventually(func() bool { return s.onlyServes(4, staying, &port) })
}

// Guards against resets of the flows of a backend server whose address another one announces.
func TestAnnouncementOfAnUnknownServiceTakesNoAddress(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.startEntry(4)
	s.put(1, 7)
	unserved := strings.Replace(string(s.heartbeat(s.backend("i-e1"), "ready")), `"orders"`, `"telemetry"`, 1)
	for host := 1; host <= 3; host++ {
		eventually(func() bool { // until the host has the document
			status, _ := s.call(host, "POST", standin.HeartbeatPath("i-e1"), unserved)
			return status == http.StatusServiceUnavailable
		})
	}
	first := s.backend("i-a1")
	s.announce(1, first, "ready")
	s.waitReady(4)
	s.sendTo(4, packet(1000, 0))
	_, opening := first.receive(t)
	token := binary.BigEndian.Uint32(opening)

	foreign := strings.Replace(string(s.heartbeat(first, "ready")), `"orders"`, `"telemetry"`, 1)
	foreign = strings.Replace(foreign, "1700000000000", "1800000000000", 1)
	for host := 1; host <= 3; host++ {
		for _, id := range []string{"i-f1", first.id} {
			status, _ := s.call(host, "POST", standin.HeartbeatPath(id), foreign)
			c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
		}
	}
	s.announce(2, first, "ready")
	s.sendTo(4, packet(1000, token))
	_, next := first.receive(t)
	c.Assert(next, qt.DeepEquals, packet(1000, token))
}

// Guards against an announcement of an unknown service that takes an address for good.
func TestAnnouncementsBeforeTheFirstDocument(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.startEntry(4)
	first := s.backend("i-a1")
	foreign := strings.Replace(string(s.heartbeat(first, "ready")), `"orders"`, `"telemetry"`, 1)
	foreign = strings.Replace(foreign, "1700000000000", "1800000000000", 1)
	s.announce(1, first, "ready")
	status, _ := s.call(1, "POST", standin.HeartbeatPath("i-f1"), foreign)
	c.Assert(status, qt.Equals, http.StatusOK)
	s.put(1, 7)
	eventually(func() bool { // until the first backend server has its address back
		s.announce(1, first, "ready")
		s.sendTo(4, packet(1000, 0))
		_ = first.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := first.conn.Read(make([]byte, 2048))
		return err == nil
	})
}

// A control host that lost its disk can't know the services until it has the document.
func TestBlankControlHostRejectsAnnouncements(t *testing.T) {
	s := newSystem(t)
	s.startControl(1, false)
	status, _ := s.call(1, "POST", standin.HeartbeatPath("i-a1"), string(s.heartbeat(s.backend("i-a1"), "ready")))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against a document that the log accepts and no control host can apply.
func TestLargeDocumentLeavesTheLogUsable(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	s.put(1, 1)
	const targets = 140_000 // of one route
	split := strings.Repeat(`{"service":"o","weight":1},`, targets)
	large := `{"version":2,"services":[{"name":"o"}],"routes":[{"name":"r","host":"198.18.0.1","pathPrefix":"/443/","timeoutMs":1000,"split":[` +
		strings.TrimSuffix(split, ",") + `]}]}`
	eventually(func() bool {
		status, _ := s.call(1, "POST", standin.PutPath, large)
		return status == http.StatusOK
	})
	s.put(2, 3)
	c.Assert(s.get(3), qt.Equals, document(3))
}
