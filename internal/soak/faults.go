package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"greengagequay/platform/standin"
)

// Times of the faults.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	longestGap    = time.Second // between the starts of two faults, which may overlap
	// drainedServeTime is how long a drained backend server serves after its
	// replacement has started. It is longer than drainBound, so that new flows that
	// arrive too late are detected.
	drainedServeTime = 4500 * time.Millisecond
)

// fault is one kind of fault. begin starts the fault and returns its target and
// the function that ends it, or a nil function if it cannot begin now.
type fault struct {
	name  string
	begin func(s *soak, rng *rand.Rand) (target string, end func())
}

// faultKinds holds all kinds of faults. A seed selects them by index, so their
// order must not change.
var faultKinds = []fault{
	{"kill", killProcess},
	{"pause", pauseProcess},
	{"terminate", terminateProcess},
	{"kill all control hosts", killControls},
	{"wipe", wipeControl},
	{"tear", tearControlLog},
	{"cut host", disruptHost},
	{"cut link", disruptLink},
	{"reload", reloadSettings},
	{"dark backend", makeBackendUnresponsive},
	{"crash backend", crashBackend},
	{"drain backend", drainBackend},
	{"spare joins", startSpareControl},
	{"slow backend", setBackend(slowAnswers)},
	{"failing backend", setBackend(errorAnswers)},
	{"refusing backend", setBackend(refusedConnections)},
	{"restart backend", restartBackend},
}

// injectFaults injects random faults for the configured length, and then waits
// for longestFault. By then the time of every fault is over. Only drained backend
// servers and processes that are slow to end may take longer.
func (s *soak) injectFaults(rng *rand.Rand) {
	deadline := time.Now().Add(s.Length)
	started := time.Now()
	for time.Now().Before(deadline) {
		k := faultKinds[rng.IntN(len(faultKinds))]
		length := shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
		target, end := k.begin(s, rng)
		if end == nil {
			continue // the fault cannot begin now
		}
		s.checks.faultBegan()
		fmt.Fprintf(s.Out, "%7.3f %s %s for %v\n", time.Since(started).Seconds(), k.name, target, length.Round(time.Millisecond))
		s.tasks.Go(func() {
			s.sleep(length)
			end()
			s.checks.recordDisturbance()
		})
		if !s.sleep(time.Duration(rng.Int64N(int64(longestGap)))) {
			return
		}
	}
	s.sleep(longestFault)
}

// pickProcess returns a random entry host or control host, but never the spare
// control host. An earlier fault of the same process may still be in progress.
func (s *soak) pickProcess(rng *rand.Rand) *process {
	if rng.IntN(2) == 0 {
		return s.entries[rng.IntN(len(s.entries))]
	}
	return s.controls[rng.IntN(controlHosts)]
}

func (p *process) restart() {
	if err := p.start(false); err != nil {
		p.soak.checks.addViolation("%v", err)
	}
}

func killProcess(s *soak, rng *rand.Rand) (string, func()) {
	p := s.pickProcess(rng)
	p.kill()
	return p.name, p.restart
}

func pauseProcess(s *soak, rng *rand.Rand) (string, func()) {
	p := s.pickProcess(rng)
	p.signal(syscall.SIGSTOP)
	return p.name, p.resume
}

// terminateProcess sends SIGTERM to a process. The end of the fault waits until
// the process has ended, and starts it again.
func terminateProcess(s *soak, rng *rand.Rand) (string, func()) {
	p := s.pickProcess(rng)
	p.resume() // a paused process cannot end
	s.tasks.Go(func() { p.endWith(syscall.SIGTERM) })
	return p.name, func() {
		p.endWith(syscall.SIGTERM)
		p.restart()
	}
}

// killControls kills all control hosts, the spare one included. At the end of the
// fault all of them start again except the spare one.
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

// wipeControl deletes the data of a control host. It does so only while at least
// controlHosts hosts are voters, so that one lost disk is replaced before the next
// is lost.
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
		if s.isVoter(host) {
			count++
		}
	}
	return count
}

// tearControlLog kills a control host and leaves a torn record at the end of its log.
func tearControlLog(s *soak, rng *rand.Rand) (string, func()) {
	p := s.controls[rng.IntN(controlHosts)]
	p.kill()
	p.appendTornRecord(rng)
	return p.name, p.restart
}

// disruptHost sets all links of a host to a random mode other than passing.
func disruptHost(s *soak, rng *rand.Rand) (string, func()) {
	host, m := rng.IntN(hostCount), mode(1+rng.IntN(len(modeNames)-1))
	s.network.setHostMode(host, m)
	return fmt.Sprintf("%d %s", host, modeNames[m]), func() { s.network.setHostMode(host, passing) }
}

// disruptLink sets one link to a random mode other than passing.
func disruptLink(s *soak, rng *rand.Rand) (string, func()) {
	from, to, m := rng.IntN(hostCount), rng.IntN(controlHosts), mode(1+rng.IntN(len(modeNames)-1))
	k := s.network.links[[2]int{from, to}]
	if k == nil {
		return "", nil
	}
	k.set(m)
	return fmt.Sprintf("%d to %d %s", from, to, modeNames[m]), func() { k.set(passing) }
}

func reloadSettings(s *soak, rng *rand.Rand) (string, func()) {
	p := s.pickProcess(rng)
	for range 1 + rng.IntN(3) {
		p.signal(syscall.SIGHUP)
	}
	return p.name, func() {}
}

func makeBackendUnresponsive(s *soak, rng *rand.Rand) (string, func()) {
	b := s.fleet.pick(rng)
	b.setUnresponsive(true)
	return b.id, func() { b.setUnresponsive(false) }
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
	if err := s.addBackend(s.fleet, b.service, b.zone, uint64(rand.Uint32())); err != nil {
		s.checks.addViolation("%v", err)
	}
	s.fleet.remove(b)
}

// drainBackend drains a backend server. At the end of the fault a replacement
// starts, the drained one serves for drainedServeTime, and then it leaves and
// ends.
func drainBackend(s *soak, rng *rand.Rand) (string, func()) {
	b := s.fleet.pick(rng)
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	host := s.control(rng)
	return b.id, func() {
		s.replaceBackend(b)
		s.sleep(drainedServeTime)
		b.beginLeave()
		_, _ = s.call(host, http.MethodPost, standin.LeavePath(b.id), nil) // it ends even if the call fails
		b.end()
	}
}

// restartBackend ends a backend server. At the end of the fault it starts again with the
// same id and another address, without its flows.
func restartBackend(s *soak, rng *rand.Rand) (string, func()) {
	b := s.fleet.pick(rng)
	b.mu.Lock()
	ended := b.ended || b.draining
	b.mu.Unlock()
	if ended || len(s.fleet.openedByBackend()) == 1 {
		return "", nil // another fault replaces it, or none would be left to pick
	}
	s.fleet.remove(b) // no other fault may replace it
	b.end()
	return b.id, func() {
		if s.ctx.Err() != nil {
			return
		}
		if err := s.addBackend(s.fleet, b.service, b.zone, b.number); err != nil {
			s.checks.addViolation("%v", err)
		}
	}
}

// setBackend returns the start of a fault in which a backend server answers in the given
// way.
func setBackend(a answering) func(*soak, *rand.Rand) (string, func()) {
	return func(s *soak, rng *rand.Rand) (string, func()) {
		b := s.fleet.pick(rng)
		b.setAnswering(a)
		return b.id, func() { b.setAnswering(usualAnswers) }
	}
}

func startSpareControl(s *soak, _ *rand.Rand) (string, func()) {
	p := s.controls[controlHosts]
	p.restart()
	return p.name, p.kill
}
