package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// checks compares what was seen with what is promised. It is safe for
// concurrent use.
type checks struct {
	mu          sync.Mutex
	seen        Report
	sent        map[uint64]map[string]bool // notes of documents, by version
	held        map[uint64]string          // note that was read back, by version
	accepted    uint64                     // highest version
	disturbedAt time.Time                  // when a fault last began or ended
	opened      map[string]int             // flows, by entry host
	owners      map[flowKey]*backend       // of open flows
}

func newChecks() *checks {
	return &checks{
		sent: map[uint64]map[string]bool{}, held: map[uint64]string{}, opened: map[string]int{},
		owners: map[flowKey]*backend{},
	}
}

func (c *checks) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Violations = append(c.seen.Violations, fmt.Sprintf(format, args...))
}

func (c *checks) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

func (c *checks) openedAt() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.opened)
}

// disturb notes that a fault begins or ends.
func (c *checks) disturb() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedAt = time.Now()
}

// calmSince reports whether no fault began or ended after shortly before a time.
func (c *checks) calmSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disturbedAt.Add(calmBound).Before(at)
}

func (c *checks) fault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Faults++
	c.disturbedAt = time.Now()
}

// sending notes a document before it is sent.
func (c *checks) sending(version uint64, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent[version] == nil {
		c.sent[version] = map[string]bool{}
	}
	c.sent[version][note] = true
}

func (c *checks) documentAccepted(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Accepted++
	c.accepted = max(c.accepted, version)
}

// floor returns the lowest version that a read which begins now may return.
func (c *checks) floor() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

func (c *checks) documentRead(from string, floor, version uint64, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Reads++
	switch held, known := c.held[version]; {
	case version < floor:
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("%s returned version %d after %d was accepted", from, version, floor))
	case !c.sent[version][note]:
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("%s returned version %d with a note that nobody sent: %q", from, version, note))
	case known && held != note:
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("version %d was read as %q, then as %q", version, held, note))
	}
	c.held[version] = note
}

// flowOpened notes the backend server of a flow.
func (c *checks) flowOpened(k flowKey, b *backend, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Opened++
	c.opened[entry]++
	c.owners[k] = b
}

func (c *checks) flowEnded(k flowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owners, k)
}

func (c *checks) owner(k flowKey) *backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[k]
}

func (c *checks) request(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		c.seen.Answered++
		return
	}
	c.seen.Lost++
}
