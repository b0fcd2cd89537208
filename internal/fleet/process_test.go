package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fleet"
	"greengagequay/internal/quaydtest"
	"greengagequay/platform/standin"
)

// process is a host that runs as a process of its own.
type process struct{ ended chan struct{} }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// startProcess starts a host, which the end of the test kills.
func (s *system) startProcess(program string, host int, role fleet.Role) *process {
	settings, err := json.Marshal(s.config(host, role, true))
	qt.Assert(s.t, err, qt.IsNil)
	path := filepath.Join(s.folder, fmt.Sprintf("h%d.jsonc", host))
	qt.Assert(s.t, os.WriteFile(path, settings, 0o600), qt.IsNil)
	cmd := exec.Command(program, "host", "--config", path)
	qt.Assert(s.t, cmd.Start(), qt.IsNil)
	p := &process{ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = cmd.Wait()
	}()
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// flowsPerRound is the number of flows after which onlyServes decides. Entry hosts
// take turns, so each of several ready backend servers gets some of them.
const flowsPerRound = 8

// openingWait is how long an opening packet may take to its backend server before it
// counts as sent to another one.
const openingWait = 200 * time.Millisecond

// onlyServes reports whether an entry host places new flows on this backend server
// alone, as long as the others are in its zone.
func (s *system) onlyServes(host int, b *backend, port *uint16) bool {
	for range flowsPerRound {
		*port++
		s.sendTo(host, packet(*port, 0))
		_ = b.conn.SetReadDeadline(time.Now().Add(openingWait))
		if _, err := b.conn.Read(make([]byte, 2048)); err != nil {
			return false
		}
	}
	return true
}

// Guards against drains without effect and hosts that end, beside invalid announcements.
func TestProcessesDrainBesideInvalidAnnouncements(t *testing.T) {
	c := qt.New(t)
	program := quaydtest.Build(t)
	s := newSystem(t)
	var processes []*process
	for host := 1; host <= 3; host++ {
		processes = append(processes, s.startProcess(program, host, fleet.Control))
	}
	processes = append(processes, s.startProcess(program, 4, fleet.Entry))
	s.put(1, 7)
	leaving, staying := s.backend("i-a1"), s.backend("i-b2")
	s.announce(1, leaving, "ready")
	s.announce(1, staying, "ready")
	s.waitReady(4)

	for _, invalid := range standin.InvalidAnnouncements("orders", standin.LocalAddr(s.backend("i-c3").conn)) {
		s.call(1, "POST", invalid.Path, invalid.Body)
	}
	s.announce(1, leaving, "draining")
	port := uint16(1000)
	eventually(func() bool { return s.onlyServes(4, staying, &port) })
	s.put(2, 8)
	for _, p := range processes {
		c.Check(p.hasEnded(), qt.IsFalse)
	}
}
