// Package soak runs quayd hosts as separate processes on one machine, injects
// faults from outside these processes, and checks what callers, backend servers
// and operators observe. It ends only processes that it started.
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
	Quayd  string        // path of the quayd program
	Folder string        // for settings, data and logs of the hosts; Run does not remove it
	Seed   uint64        // seeds the random choice of faults, which also depends on the state of the deployment
	Length time.Duration // time during which faults begin; the run takes some seconds more
	Out    io.Writer     // receives one line for each fault
}

// Size of the deployment and of its load.
const (
	controlHosts       = 3
	spareControlHosts  = 1
	entryHosts         = 3
	callers            = 3
	concurrentFlows    = 4 // flows that each caller keeps open
	shortFlows         = 4 // flows of one request that each caller has at a time besides; without them too few flows open to exceed the bound for cold backend servers
	backendsPerService = 3 // backend servers of each service
)

// Time bounds that the soak checks.
const (
	drainBound    = 3 * time.Second  // from the acknowledgement of a drain, until a new flow is a violation
	settleBound   = 4 * time.Second  // after a fault begins or ends, until time bounds apply again
	recoveryBound = 20 * time.Second // from the start, or from the last fault, until the deployment works
)

// Report holds the results of a run.
type Report struct {
	Violations []string
	Faults     int
	Accepted   int // documents that a control host accepted
	Reads      int // documents that were read back
	Opened     int // flows that were opened
	Answered   int // requests that were answered
	Lost       int // requests that were not answered
	Errors     int // requests that were answered with an error
	Cold       int // flows that were opened with cold backend servers
	Resets     int // open flows that an entry host reset
	Orders     int // orders about zones that a control host accepted
}

// String returns a summary of the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("%d faults, %d documents accepted, %d orders accepted, %d reads, %d flows, %d with cold backend servers, %d reset, %d requests answered, %d with an error, %d lost, %d violations",
		r.Faults, r.Accepted, r.Orders, r.Reads, r.Opened, r.Cold, r.Resets, r.Answered, r.Errors, r.Lost, len(r.Violations))
}

// soak holds the state of one run.
type soak struct {
	Config
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	layout   layout
	controls []*process
	entries  []*process
	network  *network
	checks   *checks
	fleet    *backends
	http     *http.Client

	stopOrders  chan struct{} // closed when the operator sends no further orders about zones
	ordersEnded chan struct{} // closed when its last one was accepted
}

// callTimeout bounds a call to the API or the metrics of a control host.
const callTimeout = time.Second

// Run runs the soak with one seed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{Config: cfg, ctx: ctx, cancel: cancel, checks: newChecks(), http: &http.Client{Timeout: callTimeout},
		stopOrders: make(chan struct{}), ordersEnded: make(chan struct{})}
	layout, err := findLayout()
	if err != nil {
		return Report{}, err
	}
	s.layout = layout
	defer s.stop()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	s.injectFaults(rand.New(rand.NewPCG(cfg.Seed, 0)))
	s.heal()
	s.awaitRecovery()
	s.endOrders()
	s.checkReturn()
	s.checkInvitations()
	s.checkEvacuations()
	s.cancel()
	s.tasks.Wait()
	return s.checks.report(), nil
}

func (s *soak) start() error {
	var err error
	if s.network, err = newNetwork(s.layout); err != nil {
		return err
	}
	for n := range controlHosts + spareControlHosts {
		s.controls = append(s.controls, s.newProcess(n, true))
	}
	for n := range entryHosts {
		s.entries = append(s.entries, s.newProcess(controlHosts+spareControlHosts+n, false))
	}
	for _, p := range append(s.controls[:controlHosts:controlHosts], s.entries...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		s.tasks.Go(e.pollReady)
	}
	if s.fleet, err = s.newBackends(); err != nil {
		return err
	}
	s.tasks.Go(s.runOperator)
	s.tasks.Go(s.runOperator) // a second operator submits documents concurrently
	s.tasks.Go(s.runEvacuations)
	s.tasks.Go(s.runReader)
	s.tasks.Go(s.sendInvalidAnnouncements)
	for n := range callers {
		c, err := s.newCaller(n)
		if err != nil {
			return err
		}
		for range concurrentFlows {
			s.tasks.Go(func() { c.runFlows(flowRequests) })
		}
		for range shortFlows {
			s.tasks.Go(func() { c.runFlows(1) })
		}
	}
	return s.awaitFirstAnswer()
}

// sleep waits for d. It returns false at once when the run is cancelled.
func (s *soak) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// awaitFirstAnswer waits until a request of a caller has been answered.
func (s *soak) awaitFirstAnswer() error {
	deadline := time.Now().Add(recoveryBound)
	for s.checks.report().Answered == 0 {
		if time.Now().After(deadline) || !s.sleep(50*time.Millisecond) {
			return fmt.Errorf("no request was answered within %v of the start; see the logs in %s", recoveryBound, s.Folder)
		}
	}
	return nil
}

// awaitRecovery checks that after the last fault documents are accepted and read
// back again, and that flows open through each entry host.
func (s *soak) awaitRecovery() {
	before := s.checks.report()
	opened := s.checks.openedByEntry()
	deadline := time.Now().Add(recoveryBound)
	for time.Now().Before(deadline) && s.sleep(100*time.Millisecond) {
		now := s.checks.report()
		recovered := now.Accepted > before.Accepted && now.Reads > before.Reads
		for _, e := range s.entries {
			recovered = recovered && s.checks.openedByEntry()[e.name] > opened[e.name]
		}
		if recovered {
			return
		}
	}
	s.checks.addViolation("the deployment had not recovered %v after the last fault: %v, then %v", recoveryBound, before, s.checks.report())
}

// heal ends all faults of the network and the hosts, and starts each host that
// does not run.
func (s *soak) heal() {
	s.network.heal()
	for _, p := range append(s.controls, s.entries...) {
		p.resume()
		if err := p.ensureRunning(); err != nil {
			s.checks.addViolation("%v", err)
		}
	}
	s.checks.recordDisturbance()
}

// stop stops everything that the run started.
func (s *soak) stop() {
	s.cancel()
	s.tasks.Wait()
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
