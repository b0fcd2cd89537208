package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fleet"
	"greengagequay/platform/standin"
)

// buildQuayd builds the program that the hosts run.
func buildQuayd(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "quayd")
	out, err := exec.Command("go", "build", "-o", program, "greengagequay/cmd/quayd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

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

// onlyServes reports whether an entry host places new flows on this backend server
// alone, as long as the others are in its zone.
func (s *system) onlyServes(host int, b *backend, port *uint16) bool {
	for range flowsPerRound {
		*port++
		s.sendTo(host, packet(*port, 0))
		_ = b.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := b.conn.Read(make([]byte, 2048)); err != nil {
			return false
		}
	}
	return true
}

// oddEntry is an announcement of another writer, which names no backend server to
// use.
type oddEntry struct {
	id       string // as in the path of the call
	old, new string // what differs from the announcement of a backend server
}

// oddEntries are entries of other writers that operators met, and those that this
// system once could not send on. Some name a service that does not exist.
var oddEntries = []oddEntry{
	{"i-%ff", `"orders"`, `"unnamed"`},
	{"i-c3%00", `"orders"`, `"unnamed"`},
	{"i-c3" + strings.Repeat("0", 100_000), `"orders"`, `"unnamed"`},
	{"i-c3", `"orders"`, "\"\xff\""},
	{"i-c3", `"z1"`, `"` + strings.Repeat("z", 60_000) + `"`},
	{"i-c3", `"slots":2`, `"slots":2,"version":` + strings.Repeat("[", 30_000)},
	{"i-c3", `"slots":2`, `"slots":2,"version":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
	{"i-c3", `"slots":2`, `"slots":2e400`},
	{"i-c3", `"slots":2`, `"slots":9223372036854775807`},
	{"i-c3", `"seq":1`, `"seq":18446744073709551615`},
	{"i-c3", `"127.0.0.1:`, `"127.0.0.1:9`},
	{"i-c3", `"127.0.0.1:`, `"127.0.0.1:-`},
	{"i-c3", `"127.0.0.1:`, `"[::1]:`},
}

// oddBody returns the body of an odd entry.
func (s *system) oddBody(c *qt.C, odd oddEntry) string {
	whole := strings.Replace(string(s.heartbeat(s.backend("i-c3"), "ready")), "[::ffff:127.0.0.1]", "127.0.0.1", 1)
	body := strings.Replace(whole, odd.old, odd.new, 1)
	c.Assert(body, qt.Not(qt.Equals), whole, qt.Commentf("%q", odd.old))
	return body
}

// Guards against requests that reach a backend server after its draining was
// acknowledged, and hosts that end, because of an odd entry among the others.
func TestProcessesDrainBesideOddEntries(t *testing.T) {
	c := qt.New(t)
	program := buildQuayd(t)
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

	for _, odd := range oddEntries {
		s.call(1, "POST", standin.HeartbeatPath(odd.id), s.oddBody(c, odd))
	}
	s.announce(1, leaving, "draining")
	port := uint16(1000)
	eventually(func() bool { return s.onlyServes(4, staying, &port) })
	s.put(2, 8)
	for _, p := range processes {
		c.Check(p.hasEnded(), qt.IsFalse)
	}
}
