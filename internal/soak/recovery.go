package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"greengagequay/platform/standin"
)

const (
	// hintInterval is the longest time after which a control host has stored the entry
	// hosts that follow it or another one: 2 s, and a tick of each.
	hintInterval = 3 * time.Second
	// entryStartTime is how long an entry host takes from its start until it listens for
	// invitations. Control hosts send them during 0.8 s.
	entryStartTime = time.Second
)

// checkReturn checks, after the faults, that zones return from an evacuation, with the
// bound for cold backend servers, and that every backend server gets flows again.
func (s *soak) checkReturn() {
	s.sleep(settleBound) // no exception for entry hosts that do not know of cold backend servers
	rng := rand.New(rand.NewPCG(s.Seed, 4))
	if len(s.checks.evacuated()) == 0 {
		if !s.order(rng, 0, true) {
			return
		}
		s.sleep(evacuateBound)
	}
	before := s.fleet.openedByBackend()
	for zone := range s.checks.evacuated() {
		if !s.order(rng, zone, false) {
			return
		}
	}
	deadline := time.Now().Add(recoveryBound)
	for {
		var without []string
		for b, opened := range s.fleet.openedByBackend() {
			if opened <= before[b] {
				without = append(without, b.id+" of "+services[b.service]+" in "+zoneName(b.zone))
			}
		}
		if len(without) == 0 {
			return
		}
		if time.Now().After(deadline) {
			s.checks.addViolation("backend servers without a new flow %v after the faults: %v", recoveryBound, without)
			return
		}
		if !s.sleep(100 * time.Millisecond) {
			return
		}
	}
}

// checkInvitations kills all hosts and starts all of them but the only seed of the entry
// hosts. The entry hosts must become ready. Then the seed starts.
func (s *soak) checkInvitations() {
	s.sleep(hintInterval)
	all := append(s.controls[:len(s.controls):len(s.controls)], s.entries...)
	for _, p := range all {
		p.kill()
	}
	seed := s.controls[0]
	for _, e := range s.entries {
		e.seeds = []string{s.layout.addr(seed.number, portAPI)}
		e.restart()
	}
	s.sleep(entryStartTime)
	for _, p := range s.controls[1:] { // also the spare one, which may be a voter
		p.restart()
	}
	deadline := time.Now().Add(recoveryBound)
	for _, e := range s.entries {
		for !s.isReady(e) {
			if time.Now().After(deadline) {
				s.checks.addViolation("%s was not ready without its seed %v after the start of the other control hosts", e.name, recoveryBound)
				break
			}
			if !s.sleep(50 * time.Millisecond) {
				return
			}
		}
	}
	seed.restart()
	for _, e := range s.entries {
		e.seeds = nil // used at its next start
	}
	s.checks.recordDisturbance()
	s.awaitRecovery()
}

// isReady calls the readiness check of an entry host.
func (s *soak) isReady(p *process) bool {
	resp, err := s.http.Get("http://" + s.layout.addr(p.number, portReady) + standin.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
