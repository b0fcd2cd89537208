package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"greengagequay/internal/fleet"
	"greengagequay/platform/standin"
)

// Times of evacuations.
const (
	// evacuateBound is the time from the acknowledgement of an evacuation until a new
	// flow in the zone is a violation.
	evacuateBound      = 5 * time.Second
	orderRetryInterval = 100 * time.Millisecond
	longestEvacuation  = 8 * time.Second
	longestPause       = 1500 * time.Millisecond // between two evacuations
	// evacuationObserving is how long flows are checked after the bounds have passed, and
	// again after the restart of the entry hosts. About 10 flows open in it.
	evacuationObserving = 2 * time.Second
)

// evacuations holds what the operator knows of the evacuated zones.
type evacuations struct {
	since map[int]time.Time // when the evacuation of a zone was acknowledged, unless its end was ordered since
	// strict is whether flows are checked also right after a fault. It is set once only
	// entry hosts are disturbed.
	strict bool
}

// orderSending records an order before it is sent, since it may take effect before the
// call that sends it returns.
func (c *checks) orderSending(zone int, start bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !start {
		delete(c.evacuations.since, zone)
	}
}

func (c *checks) orderAccepted(zone int, start bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Orders++
	if c.evacuations.since == nil {
		c.evacuations.since = map[int]time.Time{}
	}
	if start {
		c.evacuations.since[zone] = time.Now()
	}
}

func (c *checks) evacuated() map[int]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.evacuations.since)
}

func (c *checks) setStrict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations.strict = true
}

// flowInZone checks a new flow at a backend server of a zone.
func (c *checks) flowInZone(zone int, backend string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, evacuated := c.evacuations.since[zone]
	if !evacuated || time.Since(since) <= evacuateBound {
		return
	}
	if c.evacuations.strict || time.Since(c.disturbedAt) > settleBound {
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("backend %s got a new flow %v after the acknowledgement of the evacuation of %s", backend, time.Since(since), zoneName(zone)))
	}
}

// runEvacuations starts and ends evacuations of random zones, one at a time, until
// stopOrders is closed. It does not end the last one then.
func (s *soak) runEvacuations() {
	defer close(s.ordersEnded)
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	for {
		zone := rng.IntN(zoneCount)
		for _, start := range []bool{true, false} {
			limit := longestPause
			if !start {
				limit = longestEvacuation
			}
			select {
			case <-s.stopOrders:
				return
			case <-s.ctx.Done():
				return
			case <-time.After(time.Duration(rng.Int64N(int64(limit)))):
			}
			if !s.order(rng, zone, start) {
				return
			}
		}
	}
}

// order sends an order until a control host accepts it. It returns false if the run
// ends before.
func (s *soak) order(rng *rand.Rand, zone int, start bool) bool {
	path := standin.EndEvacuationPath(zoneName(zone))
	if start {
		path = standin.StartEvacuationPath(zoneName(zone))
	}
	since, evacuated := s.checks.evacuated()[zone]
	s.checks.orderSending(zone, start)
	if !start {
		s.fleet.coolZone(zone, evacuated && time.Since(since) > evacuateBound)
	}
	for {
		host := s.control(rng)
		switch status, body := s.call(host, http.MethodPost, path, nil); status {
		case http.StatusOK:
			s.checks.orderAccepted(zone, start)
			return true
		case 0, http.StatusServiceUnavailable:
		default:
			s.checks.addViolation("%s answered %s with status %d: %s", s.controls[host].name, path, status, body)
		}
		if !s.sleep(orderRetryInterval) {
			return false
		}
	}
}

// sendInvalidOrder sends an invalid order about a zone to a random control host.
func (s *soak) sendInvalidOrder(rng *rand.Rand) {
	list := standin.InvalidOrders()
	invalid := list[rng.IntN(len(list))]
	status, _ := s.call(s.control(rng), http.MethodPost, invalid.Path, []byte(invalid.Body))
	if status != 0 && status != http.StatusBadRequest {
		s.checks.addViolation("the invalid order %.80s got status %d", invalid.Path, status)
	}
}

// endOrders waits, after the faults, until the operator sends no further orders.
func (s *soak) endOrders() {
	close(s.stopOrders)
	select {
	case <-s.ordersEnded:
	case <-time.After(recoveryBound):
		s.checks.addViolation("an order about a zone was not accepted within %v after the faults", recoveryBound)
	}
}

// checkEvacuations checks, after the faults, that the control hosts know the evacuated
// zones, that no flow opens there, and that none does after a restart of all entry
// hosts. Flows that open are checked when they do, in flowInZone.
func (s *soak) checkEvacuations() {
	if len(s.checks.evacuated()) == 0 && !s.order(rand.New(rand.NewPCG(s.Seed, 3)), 0, true) {
		return
	}
	s.compareEvacuations()
	s.sleep(max(evacuateBound, settleBound) + evacuationObserving)
	s.checks.setStrict()
	for _, e := range s.entries {
		e.kill()
	}
	for _, e := range s.entries {
		e.restart()
	}
	s.awaitRecovery()
	s.sleep(evacuationObserving)
}

// compareEvacuations compares the evacuated zones that the control hosts list with those
// that the operator knows. At least one host must list them within recoveryBound.
func (s *soak) compareEvacuations() {
	deadline := time.Now().Add(recoveryBound)
	for s.compareLists() == 0 {
		if time.Now().After(deadline) || !s.sleep(orderRetryInterval) {
			s.checks.addViolation("no control host listed the evacuations within %v", recoveryBound)
			return
		}
	}
}

// compareLists compares the lists of the control hosts that reach a quorum. It returns
// their number.
func (s *soak) compareLists() (compared int) {
	want := s.checks.evacuated()
	for host, p := range s.controls {
		list, ok := s.listEvacuations(host)
		if !ok || !list.Current {
			continue
		}
		compared++
		count := 0
		for _, z := range list.Zones {
			if z.Evacuated {
				count++
			}
			for zone := range zoneCount {
				if _, evacuated := want[zone]; z.Zone == zoneName(zone) && z.Evacuated != evacuated {
					s.checks.addViolation("%s lists %s with evacuated=%v at revision %d", p.name, z.Zone, z.Evacuated, z.Revision)
				}
			}
		}
		if count != len(want) {
			s.checks.addViolation("%s lists %d evacuated zones, not %d", p.name, count, len(want))
		}
	}
	return compared
}

func (s *soak) listEvacuations(host int) (list fleet.EvacuationList, ok bool) {
	resp, err := s.http.Get("http://" + s.layout.addr(host, portMetrics) + fleet.EvacuationsPath)
	if err != nil {
		return list, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return list, err == nil && json.Unmarshal(data, &list) == nil
}
