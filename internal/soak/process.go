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
	heartbeatInterval = 300 * time.Millisecond // used by the hosts and by the stand-in backend servers
	shutdownGrace     = 2 * time.Second
	coldOverage       = 1.5
	coldSlack         = 5 // new flows a second of a cold backend server, since warmupPerS is 0
)

// process is one host of the deployment and the quayd process that runs it.
type process struct {
	soak        *soak
	name        string
	number      int
	control     bool
	mu          sync.Mutex
	cmd         *exec.Cmd     // nil before the first start, and after a fault has ended the process
	exited      chan struct{} // closed when the process has ended
	ready       bool          // whether its last readiness check passed
	paused      bool
	pauses      int // how often it has been paused
	startedAt   time.Time
	disturbedAt time.Time // when it was last started, ended, paused or resumed
	seeds       []string  // seeds in its settings, or nil for the usual ones
}

func (s *soak) newProcess(number int, control bool) *process {
	name := fmt.Sprintf("entry-%d", number)
	if control {
		name = fmt.Sprintf("control-%d", number)
	}
	return &process{soak: s, name: name, number: number, control: control}
}

func (p *process) path(suffix string) string {
	return filepath.Join(p.soak.Folder, p.name+suffix)
}

// config returns the settings of the host.
func (p *process) config(first bool) fleet.Config {
	l := p.soak.layout
	c := fleet.Config{
		Name: p.name, Role: fleet.Entry, Zone: zoneName(p.number % zoneCount), IP: l.ip(p.number),
		Packets: l.addr(p.number, portPackets), Ready: l.addr(p.number, portReady), API: l.addr(p.number, portAPI),
		Metrics: l.addr(p.number, portMetrics), Internal: []int{l.base + portFeed, l.base + portLog},
		FirstStart: first, HeartbeatMs: int(heartbeatInterval.Milliseconds()), TolerateLoss: 1,
		DrainMs: int(drainBound.Milliseconds()), GraceS: shutdownGrace.Seconds(), Via: map[string]string{},
		Contracts: []string{"places", "health"}, Zones: map[string]string{}, ColdOverage: coldOverage, ColdSlack: coldSlack,
	}
	for zone := range zoneCount {
		c.Zones[zoneName(zone)] = "region-0"
	}
	if p.control {
		c.Role, c.Data = fleet.Control, p.path(".data")
	}
	for to := range controlHosts + spareControlHosts {
		if to < controlHosts {
			c.Seeds = append(c.Seeds, l.addr(to, portAPI))
		}
		if to == p.number {
			continue
		}
		for _, port := range []int{portFeed, portLog} {
			c.Via[l.addr(to, port)] = l.proxyAddr(p.number, to, port)
		}
	}
	if p.seeds != nil {
		c.Seeds = p.seeds
	}
	return c
}

// startedSince reports whether the process was started after the given time.
func (p *process) startedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt.After(at)
}

// disturbedSince reports whether the process was started, ended, paused or resumed
// after the given time.
func (p *process) disturbedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt.After(at)
}

// start starts the process unless it runs already. first is true when the whole
// deployment starts for the first time.
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
	p.cmd, p.exited, p.paused, p.startedAt = cmd, exited, false, time.Now()
	p.disturbedAt = p.startedAt
	go func() {
		_ = cmd.Wait() // the log of the process shows why it ended
		close(exited)
	}()
	return nil
}

// ensureRunning starts the process if a fault has ended it. It returns an error
// if the process ended without a fault.
func (p *process) ensureRunning() error {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	p.mu.Unlock()
	if running {
		select {
		case <-exited:
			return fmt.Errorf("%s ended without a fault; see %s", p.name, p.path(".log"))
		default:
			return nil
		}
	}
	return p.start(false)
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(s) // fails if the process has ended
	p.disturbedAt = time.Now()
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
		p.pauses++
	case syscall.SIGCONT:
		p.paused = false
	}
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the process at once.
func (p *process) kill() { p.endWith(syscall.SIGKILL) }

// endWith sends a signal that ends the process, and waits until it has ended. A
// process that has not ended one second after its shutdown grace is killed. That
// is a violation unless the process was paused.
func (p *process) endWith(s syscall.Signal) {
	p.mu.Lock()
	cmd, exited, paused, pauses := p.cmd, p.exited, p.paused, p.pauses
	p.disturbedAt = time.Now()
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	if s != syscall.SIGKILL {
		select {
		case <-exited:
		case <-time.After(shutdownGrace + time.Second):
			if !paused && p.pausesSince(pauses) == 0 {
				p.soak.checks.addViolation("%s did not end within its shutdown grace after %v", p.name, s)
			}
			_ = cmd.Process.Kill()
		}
	}
	<-exited
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd { // otherwise another fault has restarted it in the meantime
		p.cmd = nil
	}
}

// pausesSince returns how often the process was paused since its pause counter
// had the given value. A paused process cannot end.
func (p *process) pausesSince(count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses - count
}

// wipe removes the data folder of a host that does not run.
func (p *process) wipe() { _ = os.RemoveAll(p.path(".data")) }

// appendTornRecord appends up to 199 random bytes to the last segment of the
// log. They stand for the part of an unsynced record that reached the disk before
// the power failed.
func (p *process) appendTornRecord(rng *rand.Rand) {
	entries, err := os.ReadDir(p.path(".data"))
	if err != nil {
		return // the host has no data yet
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
	record := make([]byte, rng.IntN(200))
	for i := range record {
		record[i] = byte(rng.Uint32())
	}
	_, _ = file.Write(record)
}
