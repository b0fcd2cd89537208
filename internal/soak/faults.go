package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"greengagequay/platform/standin"
)

// Times of faults.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	longestPause  = time.Second             // between two faults; they may overlap
	lastDrain     = 4500 * time.Millisecond // a drained backend server goes on for longer than it said
)

// fault is one kind of fault. It ends when the returned function has run.
type fault struct {
	name  string
	begin func(s *soak, rng *rand.Rand) (what string, end func())
}

// kinds is the list of faults.
var kinds = []fault{
	{"kill", killProcess},
	{"pause", pauseProcess},
	{"terminate", terminateProcess},
	{"kill all control hosts", killControls},
	{"wipe", wipeControl},
	{"tear", tearControl},
	{"cut host", cutHost},
	{"cut link", cutLink},
	{"reload", reloadSettings},
	{"dark backend", darkBackend},
	{"crash backend", crashBackend},
	{"drain backend", drainBackend},
	{"spare joins", startSpare},
}

// faults injects faults until the time is over, and waits for the end of the
// last one.
func (s *soak) faults(rng *rand.Rand) {
	until := time.Now().Add(s.Length)
	started := time.Now()
	for time.Now().Before(until) {
		k := kinds[rng.IntN(len(kinds))]
		length := shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
		what, end := k.begin(s, rng)
		if end == nil {
			continue // it does not fit now
		}
		s.checks.fault()
		fmt.Fprintf(s.Out, "%7.3f %s %s for %v\n", time.Since(started).Seconds(), k.name, what, length.Round(time.Millisecond))
		s.done.Go(func() {
			s.pause(length)
			end()
			s.checks.disturb()
		})
		if !s.pause(time.Duration(rng.Int64N(int64(longestPause)))) {
			return
		}
	}
	s.pause(longestFault)
}

// anyProcess returns a host that may be lost now: of the control hosts only one
// at a time.
func (s *soak) anyProcess(rng *rand.Rand) *process {
	if rng.IntN(2) == 0 {
		return s.entries[rng.IntN(len(s.entries))]
	}
	return s.controls[rng.IntN(controlHosts)]
}

func (p *process) restart() {
	if err := p.start(false); err != nil {
		p.soak.checks.violate("%v", err)
	}
}

func killProcess(s *soak, rng *rand.Rand) (string, func()) {
	p := s.anyProcess(rng)
	p.kill()
	return p.name, p.restart
}

func pauseProcess(s *soak, rng *rand.Rand) (string, func()) {
	p := s.anyProcess(rng)
	p.signal(syscall.SIGSTOP)
	return p.name, p.resume
}

func terminateProcess(s *soak, rng *rand.Rand) (string, func()) {
	p := s.anyProcess(rng)
	p.resume()
	s.done.Go(func() { p.finish(syscall.SIGTERM) })
	return p.name, func() {
		p.finish(syscall.SIGTERM)
		p.restart()
	}
}

func killControls(s *soak, _ *rand.Rand) (string, func()) {
	for _, p := range s.controls {
		p.kill()
	}
	return "", func() {
		for _, p := range s.controls[:controlHosts] {
			p.restart()
		}
	}
}

// wipeControl loses a disk, if the others have made up for the last one.
func wipeControl(s *soak, rng *rand.Rand) (string, func()) {
	if s.voters() < controlHosts {
		return "", nil
	}
	p := s.controls[rng.IntN(controlHosts)]
	p.kill()
	p.wipe()
	return p.name, p.restart
}

// voters returns how many control hosts say that they are voters.
func (s *soak) voters() int {
	count := 0
	for host := range s.controls {
		if s.votes(host) {
			count++
		}
	}
	return count
}

func tearControl(s *soak, rng *rand.Rand) (string, func()) {
	p := s.controls[rng.IntN(controlHosts)]
	p.kill()
	p.tear(rng)
	return p.name, p.restart
}

func cutHost(s *soak, rng *rand.Rand) (string, func()) {
	host, m := rng.IntN(allHosts), mode(1+rng.IntN(len(modeNames)-1))
	s.network.around(host, m)
	return fmt.Sprintf("%d %s", host, modeNames[m]), func() { s.network.around(host, passing) }
}

func cutLink(s *soak, rng *rand.Rand) (string, func()) {
	from, to, m := rng.IntN(allHosts), rng.IntN(controlHosts), mode(1+rng.IntN(len(modeNames)-1))
	k := s.network.links[[2]int{from, to}]
	if k == nil {
		return "", nil
	}
	k.set(m)
	return fmt.Sprintf("%d to %d %s", from, to, modeNames[m]), func() { k.set(passing) }
}

func reloadSettings(s *soak, rng *rand.Rand) (string, func()) {
	p := s.anyProcess(rng)
	for range 1 + rng.IntN(3) {
		p.signal(syscall.SIGHUP)
	}
	return p.name, func() {}
}

func darkBackend(s *soak, rng *rand.Rand) (string, func()) {
	b := s.fleet.pick(rng)
	b.setDark(true)
	return b.id, func() { b.setDark(false) }
}

func crashBackend(s *soak, rng *rand.Rand) (string, func()) {
	b := s.fleet.pick(rng)
	b.end()
	return b.id, func() { s.replaceBackend(b) }
}

func (s *soak) replaceBackend(b *backend) {
	if s.ctx.Err() != nil {
		return
	}
	if err := s.addBackend(s.fleet, b.service); err != nil {
		s.checks.violate("%v", err)
	}
	s.fleet.remove(b)
}

// drainBackend replaces a backend server: it says so, goes on for a while, and
// leaves.
func drainBackend(s *soak, rng *rand.Rand) (string, func()) {
	b := s.fleet.pick(rng)
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	told := s.control(rng)
	return b.id, func() {
		s.replaceBackend(b)
		s.pause(lastDrain)
		_, _ = s.call(told, http.MethodPost, standin.LeavePath(b.id), nil) // it ends anyway
		b.end()
	}
}

func startSpare(s *soak, _ *rand.Rand) (string, func()) {
	p := s.controls[controlHosts]
	p.restart()
	return p.name, p.kill
}
