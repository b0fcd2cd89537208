package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// checks records what callers, backend servers and operators observe, and
// compares it with what the system guarantees. It is safe for concurrent use.
type checks struct {
	mu          sync.Mutex
	seen        Report
	sent        map[uint64]map[string]bool // notes of the documents that were sent, by version
	readNote    map[uint64]string          // note of the document that was read last, by version
	accepted    uint64                     // highest version that was accepted
	disturbedAt time.Time                  // when a fault last began or ended
	opened      map[string]int             // number of flows that were opened, by entry host
	owners      map[flowKey]*backend       // backend servers of the open flows
	evacuations evacuations
}

func newChecks() *checks {
	return &checks{
		sent: map[uint64]map[string]bool{}, readNote: map[uint64]string{}, opened: map[string]int{},
		owners: map[flowKey]*backend{},
	}
}

func (c *checks) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Violations = append(c.seen.Violations, fmt.Sprintf(format, args...))
}

func (c *checks) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

func (c *checks) openedByEntry() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.opened)
}

// recordDisturbance records that a fault begins or ends now.
func (c *checks) recordDisturbance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedAt = time.Now()
}

// settledBefore reports whether the last fault began or ended more than
// settleBound before the given time.
func (c *checks) settledBefore(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disturbedAt.Add(settleBound).Before(at)
}

func (c *checks) faultBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Faults++
	c.disturbedAt = time.Now()
}

// documentSending records a document. Call it before the document is sent, since
// it may be read back before the call that sends it returns.
func (c *checks) documentSending(version uint64, note string) {
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

// minVersion returns the lowest version that a read that begins now may return.
func (c *checks) minVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// documentRead checks a document that was read from a control host. minVersion is
// the value from before the read began.
func (c *checks) documentRead(from string, minVersion, version uint64, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Reads++
	switch readNote, known := c.readNote[version]; {
	case version < minVersion:
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("%s returned version %d after version %d was accepted", from, version, minVersion))
	case !c.sent[version][note]:
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("%s returned version %d with a note that no operator sent: %q", from, version, note))
	case known && readNote != note:
		c.seen.Violations = append(c.seen.Violations, fmt.Sprintf("version %d was read with the note %q, then with %q", version, readNote, note))
	}
	c.readNote[version] = note
}

// flowOpened records a new flow, its backend server and the entry host that its
// opening packet was sent to.
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

// requestAnswered records an answer. failed is whether it reports an error.
func (c *checks) requestAnswered(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Answered++
	if failed {
		c.seen.Errors++
	}
}

func (c *checks) requestLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Lost++
}

func (c *checks) openedCold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Cold++
}

func (c *checks) flowReset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Resets++
}
