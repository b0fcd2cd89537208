// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside them, and checks what callers, backend servers and
// operators see. It ends only processes that it started.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Config holds the parameters of one run.
type Config struct {
	Quayd  string        // path of the program
	Folder string        // for settings, data and logs; kept if the run fails
	Seed   uint64        // of the schedule of faults
	Length time.Duration // of the faults; the run takes some seconds more
	Out    io.Writer     // gets a line for each fault
}

// Size of the deployment.
const (
	controlHosts  = 3
	spareControls = 1
	entryHosts    = 3
	callers       = 3
	flowsAtOnce   = 4 // of one caller
	perService    = 3 // backend servers
)

// Bounds of the promises that are checked.
const (
	drainBound   = 3 * time.Second
	calmBound    = 4 * time.Second  // after a fault, before bounds in time hold
	recoverBound = 20 * time.Second // after the last fault, until all works
)

// Report is what a run has seen.
type Report struct {
	Violations []string
	Faults     int
	Accepted   int // documents
	Reads      int
	Opened     int // flows
	Answered   int // requests
	Lost       int // requests without an answer
}

// String sums the report up in one line.
func (r Report) String() string {
	return fmt.Sprintf("%d faults, %d documents accepted, %d reads, %d flows, %d requests answered, %d lost, %d violations",
		r.Faults, r.Accepted, r.Reads, r.Opened, r.Answered, r.Lost, len(r.Violations))
}

// soak is one run.
type soak struct {
	Config
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	layout   layout
	controls []*process
	entries  []*process
	network  *network
	checks   *checks
	fleet    *backends
	http     *http.Client
}

// callTimeout bounds a call of an operator or a backend server.
const callTimeout = time.Second

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{Config: cfg, ctx: ctx, cancel: cancel, checks: newChecks(), http: &http.Client{Timeout: callTimeout}}
	layout, err := findLayout()
	if err != nil {
		return Report{}, err
	}
	s.layout = layout
	defer s.end()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	s.faults(rand.New(rand.NewPCG(cfg.Seed, 0)))
	s.heal()
	s.awaitRecovery()
	s.cancel()
	s.done.Wait()
	return s.checks.report(), nil
}

func (s *soak) start() error {
	var err error
	if s.network, err = newNetwork(s.layout); err != nil {
		return err
	}
	for n := range controlHosts + spareControls {
		s.controls = append(s.controls, s.newProcess(n, true))
	}
	for n := range entryHosts {
		s.entries = append(s.entries, s.newProcess(controlHosts+spareControls+n, false))
	}
	for _, p := range append(s.controls[:controlHosts:controlHosts], s.entries...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		s.done.Go(e.watch)
	}
	if s.fleet, err = s.newBackends(); err != nil {
		return err
	}
	s.done.Go(s.operate)
	s.done.Go(s.operate) // two operators race
	s.done.Go(s.readBack)
	for n := range callers {
		c, err := s.newCaller(n)
		if err != nil {
			return err
		}
		for range flowsAtOnce {
			s.done.Go(c.flows)
		}
	}
	return s.awaitFirstFlow()
}

// pause waits, and reports whether the run goes on.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// awaitFirstFlow waits until the deployment serves.
func (s *soak) awaitFirstFlow() error {
	until := time.Now().Add(recoverBound)
	for s.checks.report().Answered == 0 {
		if time.Now().After(until) || !s.pause(50*time.Millisecond) {
			return fmt.Errorf("no request was answered within %v of the start; see the logs in %s", recoverBound, s.Folder)
		}
	}
	return nil
}

// awaitRecovery checks that all works again once the faults are over: documents
// are accepted and read back, and flows open at each entry host.
func (s *soak) awaitRecovery() {
	before := s.checks.report()
	opened := s.checks.openedAt()
	until := time.Now().Add(recoverBound)
	for time.Now().Before(until) && s.pause(100*time.Millisecond) {
		now := s.checks.report()
		all := now.Accepted > before.Accepted && now.Reads > before.Reads
		for _, e := range s.entries {
			all = all && s.checks.openedAt()[e.name] > opened[e.name]
		}
		if all {
			return
		}
	}
	s.checks.violate("not all works %v after the last fault: %v, then %v", recoverBound, before, s.checks.report())
}

// heal ends all faults.
func (s *soak) heal() {
	s.network.heal()
	for _, p := range append(s.controls, s.entries...) {
		p.resume()
		if err := p.ensure(); err != nil {
			s.checks.violate("%v", err)
		}
	}
	s.checks.disturb()
}

// end stops what the run started.
func (s *soak) end() {
	s.cancel()
	s.done.Wait()
	for _, p := range append(s.controls, s.entries...) {
		p.kill()
	}
	if s.network != nil {
		s.network.close()
	}
	if s.fleet != nil {
		s.fleet.close()
	}
}
