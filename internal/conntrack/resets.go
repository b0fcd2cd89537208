package conntrack

import "time"

const (
	// resetDelay is the time from the record that says that a backend server is gone to
	// the first reset of its flows. A record that arrives within it takes that back.
	resetDelay = 300 * time.Millisecond
	// maxAnnounceDelay is the time from the start of a backend server to the arrival of
	// its record. Flows that were first seen within it before the record of a later start
	// with the same id may belong to that start, and are not reset.
	maxAnnounceDelay = time.Second

	resetsPerSecond = 180
	maxResetBurst   = 20 // together with resetsPerSecond: at most 200 in any second
)

// resetCredit limits the rate of resets.
type resetCredit struct {
	resets float64
	at     time.Duration
}

// refill adds what the time since the last call allows, and returns the number of
// resets that may be sent now.
func (c *resetCredit) refill(now time.Duration) int {
	c.resets = min(c.resets+(now-c.at).Seconds()*resetsPerSecond, maxResetBurst)
	c.at = now
	return int(c.resets)
}

// Resets removes flows whose backend server is gone, and returns them for the host to
// reset. It is called after Tick, and returns at most 200 flows in any second.
func (t *Table) Resets(now time.Duration) []Flow {
	allowed := t.credit.refill(now)
	if !t.anyDue(now) {
		return nil
	}
	var list []Flow
	for i := range t.flows {
		f := &t.flows[i]
		s := &t.servers.list[f.server]
		if !f.isOpen() || !s.isDue(now) || s.mayServe(f.firstAt) {
			continue
		}
		if len(list) == allowed {
			return t.spend(list)
		}
		list = append(list, Flow{Flow: f.key.flow(), Ack: f.ack, Server: s.id})
		t.remove(uint32(i))
	}
	for i := range t.servers.list {
		if s := &t.servers.list[i]; s.isDue(now) {
			s.reset = true
		}
	}
	return t.spend(list)
}

func (t *Table) spend(list []Flow) []Flow {
	t.credit.resets -= float64(len(list))
	return list
}

// anyDue reports whether any backend server has flows to reset.
func (t *Table) anyDue(now time.Duration) bool {
	for i := range t.servers.list {
		if t.servers.list[i].isDue(now) {
			return true
		}
	}
	return false
}
