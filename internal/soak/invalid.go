package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"greengagequay/platform/standin"
)

const invalidAnnouncementInterval = 200 * time.Millisecond

// sendInvalidAnnouncements sends invalid announcements with the address of a backend
// server, invalid orders and late departures, each to a random control host. They must
// change nothing; the checks of flows, drains and documents notice if they do.
func (s *soak) sendInvalidAnnouncements() {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	for s.sleep(invalidAnnouncementInterval) {
		b := s.fleet.pick(rng)
		list := standin.InvalidAnnouncements(services[b.service], standin.LocalAddr(b.conn))
		invalid := list[rng.IntN(len(list))]
		s.call(s.control(rng), http.MethodPost, invalid.Path, []byte(invalid.Body))
		s.sendInvalidOrder(rng)
		s.sendLateDeparture(rng)
	}
}

// lateDepartureOdds is one in how many turns sends a late departure.
const lateDepartureOdds = 5

// sendLateDeparture sometimes sends a departure without a start, as if an earlier start of
// a backend server's id had sent it. No flow of the present start may be reset for it.
func (s *soak) sendLateDeparture(rng *rand.Rand) {
	if rng.IntN(lateDepartureOdds) != 0 {
		return
	}
	b := s.fleet.pick(rng)
	s.call(s.control(rng), http.MethodPost, standin.LeavePath(b.id), nil)
}
