package soak

import (
	"math/rand/v2"
	"time"
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
