package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"greengagequay/platform/standin"
)

const otherWriterInterval = 200 * time.Millisecond

// runOtherWriter sends odd announcements with the address of a backend server, each to
// a random control host. They must change nothing; the checks of flows, drains and
// documents notice if they do.
func (s *soak) runOtherWriter() {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	for s.sleep(otherWriterInterval) {
		b := s.fleet.pick(rng)
		odd := standin.OddEntries(services[b.service], b.address())
		entry := odd[rng.IntN(len(odd))]
		s.call(s.control(rng), http.MethodPost, entry.Path, []byte(entry.Body))
	}
}
