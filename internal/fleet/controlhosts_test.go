package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/feed"
)

// The timeout of attempts starts short and doubles up to dialTimeout, so that a
// cold host also reaches hosts that are far away.
func TestColdDialTimeoutDoubles(t *testing.T) {
	hosts := &controlHosts{cold: true}
	h := &knownHost{}
	var timeouts []time.Duration
	for h.failures = 0; h.failures < 13; h.failures += coldFailuresPerDoubling {
		timeout, retryDelay := hosts.nextAttempt(h)
		qt.Check(t, retryDelay, qt.Equals, coldRedialDelay)
		timeouts = append(timeouts, timeout)
	}
	want := []time.Duration{coldDialTimeout, 2 * coldDialTimeout, 4 * coldDialTimeout, 8 * coldDialTimeout, dialTimeout}
	qt.Check(t, timeouts, qt.DeepEquals, want)
}

func TestWarmRetryDelayDoubles(t *testing.T) {
	hosts := &controlHosts{}
	h := &knownHost{}
	for _, want := range []time.Duration{redialDelay, 2 * redialDelay, 4 * redialDelay, 8 * redialDelay, maxRedialDelay, maxRedialDelay} {
		timeout, retryDelay := hosts.nextAttempt(h)
		qt.Check(t, timeout, qt.Equals, dialTimeout)
		qt.Check(t, retryDelay, qt.Equals, want)
		h.retryDelay = retryDelay
	}
}

// An entry host that follows one control host for long must still know the others
// when that one fails, although it hears of them only once.
func TestPeersOfAConnectedHostStayKnown(t *testing.T) {
	c := qt.New(t)
	hosts := newControlHosts(context.Background(), feed.HostInfo{Addr: "e1"}, nil, nil)
	hosts.recordUpdate("c1", feed.Update{From: feed.HostInfo{Addr: "c1"}, Peers: []feed.HostInfo{{Addr: "c2"}}})
	hosts.known["c1"].conn = &feed.Connection{}
	hosts.recordUpdate("c1", feed.Update{Current: true}) // a heartbeat, which names no peers
	long := time.Now().Add(-removeAfter - time.Second)
	hosts.known["c2"].lastHeardAt = long
	hosts.removeExpired()
	c.Assert(hosts.known["c2"], qt.IsNotNil)

	hosts.recordUpdate("c1", feed.Update{Peers: []feed.HostInfo{{Addr: "c3"}}})
	hosts.known["c2"].lastHeardAt = long
	hosts.removeExpired()
	c.Assert(hosts.known["c2"], qt.IsNil, qt.Commentf("it is no longer a peer"))

	hosts.known["c1"].conn = nil
	hosts.known["c3"].lastHeardAt = long
	hosts.removeExpired()
	c.Assert(hosts.known["c3"], qt.IsNil, qt.Commentf("no connected host names it"))
}
