package main

import (
	"net/netip"
	"time"
)

const (
	clockStep    = 2400 * time.Millisecond // clock_step, x 2400
	upBeforeDown = 700 * time.Millisecond  // from the first start to the crash
	downFor      = time.Second             // srv_crash: down for 1 s
	drainObserve = 8 * time.Second
)

// runBornBack lets the only backend of a service start on a machine whose time of day is
// ahead, crash, and start again under its id once the time of day has jumped back. Later
// the backend says that it is draining. It counts the new flows that reach it later than
// drainMs after the acknowledgement.
func runBornBack(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return false, err
	}
	route := netip.MustParseAddrPort("198.18.0.1:8443")
	c := newConfiguration(1, "pantanir")
	c.addRoute(route.Addr().String(), int(route.Port()), "pantanir")
	if ok, status := d.put(c, 0, 10*time.Second); !ok {
		rec.logf("the configuration was not accepted, last status %d", status)
		return false, errNotRun
	}
	b, err := newBackend(d, "pantanir", zones[0], 0)
	if err != nil {
		return false, err
	}
	if trouble {
		b.born += clockStep.Milliseconds()
		rec.logf("the time of day on the machine of backend %s is ahead by %v", b.id, clockStep)
	}
	go b.serve()
	stopFirst := make(chan struct{})
	go b.announce(stopFirst)
	rec.logf("backend %s at %s starts, born %d", b.id, b.address(), b.born)
	time.Sleep(upBeforeDown)
	close(stopFirst)
	address := b.conn.LocalAddr().String()
	_ = b.conn.Close()
	rec.logf("backend %s crashes; the time of day on its machine jumps back", b.id)
	time.Sleep(downFor)

	again, err := newBackendAt(d, "pantanir", zones[0], 0, address)
	if err != nil {
		return false, err
	}
	again.id, again.number = b.id, b.number
	stop := make(chan struct{})
	defer close(stop)
	go again.serve()
	go again.announce(stop)
	rec.logf("backend %s at %s starts again, born %d", again.id, again.address(), again.born)
	if !d.waitReady(15 * time.Second) {
		rec.logf("the entry hosts did not get ready")
		return false, errNotRun
	}
	time.Sleep(2*connectivityWindow + time.Second)
	cl, err := newClient(d, 0)
	if err != nil {
		return false, err
	}
	for n := range d.entries {
		rec.logf("a new flow through %s: %s", d.entries[n].name, cl.newFlow(d.entries[n], route).open())
	}
	again.mu.Lock()
	again.state = "draining"
	again.mu.Unlock()
	acked := time.Time{}
	for acked.IsZero() {
		time.Sleep(10 * time.Millisecond)
		again.mu.Lock()
		acked = again.acked["draining"]
		again.mu.Unlock()
	}
	rec.logf("backend %s says that it is draining, and a control host has acknowledged that", again.id)
	late := 0
	for n := 0; time.Since(acked) < drainObserve; n++ {
		before, sent := again.openedSoFar(), time.Since(acked)
		how := cl.newFlow(d.entries[n%len(d.entries)], route).open()
		if after := time.Since(acked); again.openedSoFar() > before && sent > drainMs*time.Millisecond {
			late++
			rec.logf("a new flow reached backend %s %v after the acknowledgement: %s", again.id, after.Round(time.Millisecond), how)
		}
		time.Sleep(200 * time.Millisecond)
	}
	rec.logf("%d new flows reached the backend later than %d ms after the acknowledgement", late, drainMs)
	return late > 0, nil
}
