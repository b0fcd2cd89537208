package main

import (
	"fmt"
	"net/netip"
	"time"
)

// Times of the late departure.
const (
	cutTime   = 10 * time.Second // for_s of node_cut
	givenUp   = 4 * time.Second  // from the departure that gets no answer to the exit
	runsFor   = 3 * time.Second  // of the next start, before it drains in turn
	idleAfter = time.Second      // pause of the client while the old departure arrives
)

// lateDeparture: a backend leaves, and a cut of its machine holds up its departure. It
// exits, starts again under its id at another address, and drains there. Then the cut
// ends, and the old departure arrives. The flows of the backend that drains must not be
// reset.
func lateDeparture(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(); err != nil {
		return false, err
	}
	if err := l.put(newConfiguration(1, map[string]netip.AddrPort{orders: l.routeAt(1)})); err != nil {
		return false, err
	}
	cable := &link{}
	first, err := l.startBackendBehind(cable.client(), "i-7f3a91c2", orders, zones[0], l.net+".9.1")
	if err != nil {
		return false, err
	}
	other, err := l.startBackend("i-11d20c4b", orders, zones[1], l.net+".9.2")
	if err != nil {
		return false, err
	}
	defer other.stop()
	if err := l.awaitCalm(first, other); err != nil {
		return false, err
	}
	if !first.drain() {
		return false, fmt.Errorf("the first start could not say that it drains")
	}
	time.Sleep(drainTime + time.Second)
	began := time.Now()
	if trouble {
		cable.setCut(true)
		l.note("the machine of %s is cut off", first.id)
	}
	first.stop() // its last words follow; it takes nothing any more
	if acked := first.leave(); !acked {
		time.Sleep(time.Until(began.Add(givenUp)))
	}
	l.note("backend %s, started at %d, exits", first.id, first.born)
	second, err := l.startBackend(first.id, orders, zones[0], l.net+".9.3")
	if err != nil {
		return false, err
	}
	defer second.stop()
	if !await(5*time.Second, second.isAcked) {
		return false, fmt.Errorf("the second start was not acknowledged")
	}
	c, err := l.newCaller(l.net + ".210.1")
	if err != nil {
		return false, err
	}
	f, err := openAt(c, l, second)
	if err != nil {
		return false, err
	}
	time.Sleep(runsFor)
	if !second.drain() {
		return false, fmt.Errorf("the second start could not say that it drains")
	}
	time.Sleep(time.Until(began.Add(cutTime)))
	if trouble {
		cable.setCut(false)
		l.note("the cut of the machine of the first start ends")
	}
	time.Sleep(idleAfter)
	result, text := f.request()
	l.note("client: next request on its open flow: %s %q", result, text)
	if result == reset {
		l.note("client: the reset has sum %d; backend %s, started at %d, lives, drains and has sent none", f.reset.Sum, second.id, second.born)
		return f.reset.Sum != 0, nil
	}
	return true, nil
}

// openAt opens flows until one is at the given backend, and makes a request on it.
func openAt(c *caller, l *lab, b *backend) (*flow, error) {
	for range 20 {
		f, opened := c.open(l.entries[0], l.routeAt(1))
		if opened != answered {
			continue
		}
		before := b.runCount()
		result, text := f.request()
		l.note("client: opens flow %v and sends a request: %s %q", f.key.client, result, text)
		if b.runCount() > before {
			return f, nil
		}
		time.Sleep(requestPause)
	}
	return nil, fmt.Errorf("no flow opened at backend %s", b.id)
}
