package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"greengagequay/internal/fleet"
)

// Settings of the hosts.
const (
	heartbeat = 300 * time.Millisecond
	grace     = 2 * time.Second
)

// process is one host of the system.
type process struct {
	soak    *soak
	name    string
	number  int
	control bool
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	ready   bool // it said so last
	paused  bool
	pauses  int // so far
}

func (s *soak) newProcess(number int, control bool) *process {
	name := fmt.Sprintf("entry-%d", number)
	if control {
		name = fmt.Sprintf("control-%d", number)
	}
	return &process{soak: s, name: name, number: number, control: control}
}

func (p *process) path(ending string) string {
	return filepath.Join(p.soak.Folder, p.name+ending)
}

// config returns the settings of the host.
func (p *process) config(first bool) fleet.Config {
	l := p.soak.layout
	c := fleet.Config{
		Name: p.name, Role: fleet.Entry, Zone: fmt.Sprintf("zone-%d", p.number%controlHosts), IP: l.ip(p.number),
		Packets: l.addr(p.number, portPackets), Ready: l.addr(p.number, portReady), API: l.addr(p.number, portAPI),
		Metrics: l.addr(p.number, portMetrics), Internal: []int{l.base + portFeed, l.base + portLog},
		FirstStart: first, HeartbeatMs: int(heartbeat.Milliseconds()), TolerateLoss: 1,
		DrainMs: int(drainBound.Milliseconds()), GraceS: grace.Seconds(), Via: map[string]string{},
	}
	if p.control {
		c.Role, c.Data = fleet.Control, p.path(".data")
	}
	for to := range controlHosts + spareControls {
		if to < controlHosts {
			c.Seeds = append(c.Seeds, l.addr(to, portAPI))
		}
		if to == p.number {
			continue
		}
		for _, port := range []int{portFeed, portLog} {
			c.Via[l.addr(to, port)] = l.proxy(p.number, to, port)
		}
	}
	return c
}

// start starts the program, if it does not run.
func (p *process) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	settings, err := json.Marshal(p.config(first))
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", p.name, err)
	}
	if err := os.WriteFile(p.path(".jsonc"), settings, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(p.soak.Quayd, "host", "--config", p.path(".jsonc"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.paused = cmd, exited, false
	go func() {
		_ = cmd.Wait() // how it ended stands in its log
		close(exited)
	}()
	return nil
}

// ensure starts the program if it does not run. One that ended by itself is a
// violation.
func (p *process) ensure() error {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	p.mu.Unlock()
	if running {
		select {
		case <-exited:
			return fmt.Errorf("%s ended by itself; see %s", p.name, p.path(".log"))
		default:
			return nil
		}
	}
	return p.start(false)
}

// signal sends a signal, if the program runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(s) // it has ended if this fails
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
		p.pauses++
	case syscall.SIGCONT:
		p.paused = false
	}
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the program at once.
func (p *process) kill() { p.finish(syscall.SIGKILL) }

// finish sends a signal that ends the program and waits until it is gone.
func (p *process) finish(s syscall.Signal) {
	p.mu.Lock()
	cmd, exited, paused, pauses := p.cmd, p.exited, p.paused, p.pauses
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	if s != syscall.SIGKILL {
		select {
		case <-exited:
		case <-time.After(grace + time.Second):
			if !paused && p.pausedSince(pauses) == 0 {
				p.soak.checks.violate("%s did not end within its grace after %v", p.name, s)
			}
			_ = cmd.Process.Kill()
		}
	}
	<-exited
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd { // else another fault has ended and started it meanwhile
		p.cmd = nil
	}
}

// pausedSince returns how often the program was paused after a count: while it
// stands still it cannot end.
func (p *process) pausedSince(count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses - count
}

// wipe removes the data folder of a host that does not run.
func (p *process) wipe() { _ = os.RemoveAll(p.path(".data")) }

// tear leaves the beginning of a record that was not synced at the end of the
// log, as a loss of power does.
func (p *process) tear(rng *rand.Rand) {
	entries, err := os.ReadDir(p.path(".data"))
	if err != nil {
		return // it has no data yet
	}
	var segments []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), "log-") {
			segments = append(segments, e.Name())
		}
	}
	if len(segments) == 0 {
		return
	}
	slices.Sort(segments)
	file, err := os.OpenFile(filepath.Join(p.path(".data"), segments[len(segments)-1]), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer file.Close()
	torn := make([]byte, rng.IntN(200))
	for i := range torn {
		torn[i] = byte(rng.Uint32())
	}
	_, _ = file.Write(torn)
}
