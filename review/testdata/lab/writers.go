package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"greengagequay/platform/standin"
)

// Services of the cases.
const (
	orders = "pantanir"
	photos = "myndir"
)

// requestPause is the time between two requests of a client.
const requestPause = 250 * time.Millisecond

// routeAt returns the nth address at which clients reach a route.
func (l *lab) routeAt(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.200.%d:443", l.net, n))
}

// awaitCalm waits until the deployment serves and every machine is in touch.
func (l *lab) awaitCalm(backends ...*backend) error {
	ready := await(20*time.Second, func() bool {
		for _, b := range backends {
			if !b.isAcked() {
				return false
			}
		}
		for _, m := range l.entries {
			if !l.isReady(m) {
				return false
			}
		}
		return true
	})
	if !ready {
		return fmt.Errorf("the deployment did not become ready")
	}
	time.Sleep(touchWindow + time.Second)
	return nil
}

// sendForeign sends a heartbeat of another writer to the control host of the first zone.
func (l *lab) sendForeign(id string, fields map[string]any) {
	body, _ := json.Marshal(fields) // the fields can always be encoded
	l.sendBytes(id, body)
}

// sendBytes sends the body of a heartbeat of another writer.
func (l *lab) sendBytes(id string, body []byte) {
	status, answer := l.post(l.controls[0], standin.HeartbeatPath(id), body)
	l.note("another writer: sends a heartbeat of %s to %s: %q: %d %s", id, l.controls[0].name, body, status, answer)
}

// missingField: another writer sends one heartbeat that lacks the field version and names
// the id of a backend of one service and another service. It names no backend to use, so
// the requests of that other service must not reach the backend.
func missingField(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(); err != nil {
		return false, err
	}
	right, err := l.startBackend("i-7f3a91c2", orders, zones[0], l.net+".9.1")
	if err != nil {
		return false, err
	}
	defer right.stop()
	wrong, err := l.startBackend("i-11d20c4b", photos, zones[0], l.net+".9.2")
	if err != nil {
		return false, err
	}
	defer wrong.stop()
	if err := l.put(newConfiguration(1, map[string]netip.AddrPort{orders: l.routeAt(1), photos: l.routeAt(2)})); err != nil {
		return false, err
	}
	if err := l.awaitCalm(right, wrong); err != nil {
		return false, err
	}
	c, err := l.newCaller(l.net + ".210.1")
	if err != nil {
		return false, err
	}
	for i := range 20 {
		if i == 8 && trouble {
			fields := heartbeat(orders, wrong.address, zones[0], "ready", 1, time.Now().UnixMilli())
			delete(fields, "version")
			l.sendForeign(wrong.id, fields)
		}
		f, opened := c.open(l.entries[0], l.routeAt(1))
		l.note("client: opens flow %v to the route of %s: %s", f.key.client, orders, opened)
		if opened != answered {
			continue
		}
		result, text := f.request()
		l.note("client: request on it: %s %q", result, text)
		if wrong.runCount() > 0 {
			l.note("backend %s of %s ran a request that every configuration sends to %s", wrong.id, photos, orders)
			return false, nil
		}
		time.Sleep(requestPause)
	}
	return true, nil
}

// unnamedService: another writer sends two heartbeats of a service that no configuration
// names, one before the first configuration and one seconds later. They name the address
// of a backend. They name no backend to use, so that backend holds, and its open flow
// must not be reset.
func unnamedService(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(); err != nil {
		return false, err
	}
	b, err := l.startBackend("i-7f3a91c2", orders, zones[0], l.net+".9.1")
	if err != nil {
		return false, err
	}
	defer b.stop()
	await(5*time.Second, b.isAcked)
	born, sequence := time.Now().UnixMilli(), uint64(0)
	sendForeign := func() {
		sequence++
		if trouble {
			l.sendForeign("i-00c0ffee", heartbeat("telemetry", b.address, zones[0], "ready", sequence, born))
		}
	}
	sendForeign()
	if err := l.put(newConfiguration(1, map[string]netip.AddrPort{orders: l.routeAt(1)})); err != nil {
		return false, err
	}
	if err := l.awaitCalm(b); err != nil {
		return false, err
	}
	c, err := l.newCaller(l.net + ".210.1")
	if err != nil {
		return false, err
	}
	f, opened := c.open(l.entries[0], l.routeAt(1))
	l.note("client: opens flow %v to the route of %s: %s", f.key.client, orders, opened)
	if opened != answered {
		return false, fmt.Errorf("the flow did not open")
	}
	for i := range 20 {
		if i == 8 {
			sendForeign()
		}
		result, text := f.request()
		l.note("client: request %d on the flow: %s %q", i+1, result, text)
		if result == reset {
			l.note("client: the reset has sum %d, so it is the system's own; backend %s lives and has sent none", f.reset.Sum, b.id)
			for range 3 {
				time.Sleep(2 * time.Second)
				_, opened := c.open(l.entries[0], l.routeAt(1))
				l.note("client: opens another flow: %s; the last heartbeat of %s was acknowledged: %v", opened, b.id, b.isAcked())
			}
			return false, nil
		}
		time.Sleep(requestPause)
	}
	return true, nil
}

// unreadableBytes: another writer sends one heartbeat whose zone holds a byte that is no
// text in UTF-8. It names the address of a backend under an id of its own. It names no
// backend to use, so that backend holds, and its open flow must not be reset.
func unreadableBytes(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(); err != nil {
		return false, err
	}
	b, err := l.startBackend("i-7f3a91c2", orders, zones[0], l.net+".9.1")
	if err != nil {
		return false, err
	}
	defer b.stop()
	if err := l.put(newConfiguration(1, map[string]netip.AddrPort{orders: l.routeAt(1)})); err != nil {
		return false, err
	}
	if err := l.awaitCalm(b); err != nil {
		return false, err
	}
	c, err := l.newCaller(l.net + ".210.1")
	if err != nil {
		return false, err
	}
	f, opened := c.open(l.entries[0], l.routeAt(1))
	l.note("client: opens flow %v to the route of %s: %s", f.key.client, orders, opened)
	if opened != answered {
		return false, fmt.Errorf("the flow did not open")
	}
	for i := range 20 {
		if i == 8 && trouble {
			body, _ := json.Marshal(heartbeat(orders, b.address, zones[0], "ready", 1, time.Now().UnixMilli()))
			l.sendBytes("i-00c0ffee", bytes.Replace(body, []byte(`"zone":"zone-a"`), []byte("\"zone\":\"zone-\xff\""), 1))
		}
		result, text := f.request()
		l.note("client: request %d on the flow: %s %q", i+1, result, text)
		if result == reset {
			l.note("client: the reset has sum %d, so it is the system's own; backend %s lives and has sent none", f.reset.Sum, b.id)
			return false, nil
		}
		time.Sleep(requestPause)
	}
	return true, nil
}
