package main

import (
	"time"
)

// Limits of the memory case.
const (
	bigRoutes      = 350 // big_config on tertu-lb
	bigChanges     = 4   // it comes this often
	usualRoutes    = 18
	changesPerDay  = 3400 // of the users' first letter
	memoryRun      = 100 * time.Second
	endsThatCount  = 3
	calmChanges    = 10
	calmInterval   = time.Second
	memoryPutLimit = 5 * time.Second
)

// runMemory sends many changes of a large configuration, one after the other, and
// counts how often control hosts end by themselves.
func runMemory(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return false, err
	}
	c := newConfiguration(1, "pantanir", "myndir")
	for n := range usualRoutes {
		c.addRoute("198.18.0.1", 8000+n, "pantanir")
	}
	if ok, status := d.put(c, 0, 10*time.Second); !ok {
		rec.logf("the first configuration was not accepted, last status %d", status)
		return false, errNotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	for n := range 4 {
		b, err := newBackend(d, "pantanir", zones[n%3], n)
		if err != nil {
			return false, err
		}
		go b.serve()
		go b.announce(stop)
	}
	until := time.Now().Add(memoryRun)
	acked, largest := 0, 0.0
	for n := 0; time.Now().Before(until) && acked < changesPerDay; n++ {
		if !trouble && n == calmChanges {
			break
		}
		if n < bigChanges {
			for range bigRoutes {
				c.addRoute("198.18.1.1", 1024+len(c.Routes), "myndir")
			}
		}
		c.Version += 1 + n%3
		c.Routes[0].TimeoutMs = 2000 + n%500
		if ok, _ := d.put(c, n, memoryPutLimit); ok {
			acked++
		}
		for _, p := range d.controls {
			largest = max(largest, residentBytes(p.pid())/1e6)
		}
		if acked%50 == 0 {
			rec.logf("%d changes of %d routes acknowledged; resident MB: %.0f %.0f %.0f", acked, len(c.Routes),
				residentBytes(d.controls[0].pid())/1e6, residentBytes(d.controls[1].pid())/1e6, residentBytes(d.controls[2].pid())/1e6)
		}
		if !trouble {
			time.Sleep(calmInterval)
		}
		if d.hostsWithEnds() >= 2 {
			break
		}
	}
	rec.logf("%d changes acknowledged in all; largest memory seen %.0f MB of %d", acked, largest, controlMemoryMB)
	for _, p := range d.controls {
		rec.logf("%s: ended by itself %d times: %q", p.name, p.ownEnds(), p.ends)
	}
	return d.hostsWithEnds() >= 2, nil
}

// hostsWithEnds returns on how many control hosts processes ended by themselves at
// least endsThatCount times.
func (d *deployment) hostsWithEnds() int {
	count := 0
	for _, p := range d.controls {
		if p.ownEnds() >= endsThatCount {
			count++
		}
	}
	return count
}
