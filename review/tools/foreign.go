package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

const (
	foreignFlows    = 12
	foreignObserve  = 12 * time.Second
	requestInterval = 100 * time.Millisecond
)

// runForeign keeps flows open at two backends. Then another writer sends one
// heartbeat that names a service which no configuration has, at the address of the
// first backend. It counts the flows of that backend that the system resets.
func runForeign(rec *record, trouble bool) (broken bool, err error) {
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
	stop := make(chan struct{})
	defer close(stop)
	var backends []*backend
	for n := range 2 {
		b, err := newBackend(d, "pantanir", zones[n], n)
		if err != nil {
			return false, err
		}
		go b.serve()
		go b.announce(stop)
		backends = append(backends, b)
		rec.logf("backend %s of service %s at %s, born %d", b.id, b.service, b.address(), b.born)
	}
	if !d.waitReady(15 * time.Second) {
		rec.logf("the entry hosts did not get ready")
		return false, errNotRun
	}
	time.Sleep(2 * heartbeatInterval)
	cl, err := newClient(d, 0)
	if err != nil {
		return false, err
	}
	var flows []*flow
	for n := range foreignFlows {
		f := cl.newFlow(d.entries[n%len(d.entries)], route)
		if how := f.open(); how != "open" {
			rec.logf("flow %d did not open: %s", n, how)
			return false, errNotRun
		}
		if how := f.request(fmt.Sprintf("first-%d", n)); how != "answered" {
			rec.logf("the first request of flow %d: %s", n, how)
			return false, errNotRun
		}
		flows = append(flows, f)
	}
	count := map[string]int{}
	for _, f := range flows {
		count[f.backend]++
	}
	rec.logf("open flows by backend: %v", count)
	if count[backends[0].id] == 0 {
		return false, errNotRun
	}
	time.Sleep(connectivityWindow + time.Second) // no disruption at all until here
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "telemetry", "address": backends[0].address(), "zone": zones[0], "version": "v1", "slots": 3,
			"state": "ready", "warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		status, answer := d.call(d.controls[0], http.MethodPost, "/api/Instances.Heartbeat/i-0badcafe", body, callTimeout)
		rec.logf("another writer's heartbeat, once: %s -> %d %s", body, status, answer)
	}
	until := time.Now().Add(foreignObserve)
	resets, answered, silent := 0, 0, 0
	alive := flows
	for n := 0; time.Now().Before(until); n++ {
		var kept []*flow
		for k, f := range alive {
			switch how := f.request(fmt.Sprintf("%d-%d", k, n)); how {
			case "answered":
				answered++
				kept = append(kept, f)
			case "reset by the system":
				resets++
				rec.logf("flow %v of backend %s, which lives and has no disruption: %s", f.key.client, f.backend, how)
			default:
				silent++
				rec.logf("flow %v of backend %s: %s", f.key.client, f.backend, how)
			}
		}
		alive = kept
		time.Sleep(requestInterval)
	}
	opened := [2]int{backends[0].openedSoFar(), backends[1].openedSoFar()}
	for n := range foreignFlows {
		cl.newFlow(d.entries[n%len(d.entries)], route).open()
	}
	rec.logf("%d requests answered, %d flows reset by the system, %d without an answer", answered, resets, silent)
	rec.logf("of %d new flows, %d s later, backend %s got %d and backend %s got %d", foreignFlows, int(foreignObserve.Seconds()),
		backends[0].id, backends[0].openedSoFar()-opened[0], backends[1].id, backends[1].openedSoFar()-opened[1])
	return resets > 0, nil
}

func (b *backend) openedSoFar() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened
}
