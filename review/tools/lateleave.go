package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	cutFor       = 5500 * time.Millisecond // node_cut, for_s 5.5
	givesUpAfter = 3 * time.Second         // a leaving backend without an acknowledgement exits
	lateFlows    = 6
	lateObserve  = 5 * time.Second
)

// link is the network path from one backend's machine to one control host. While it
// is cut, the bytes of open connections are held up, and new connections don't open.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	healed   chan struct{} // closed while the link is not cut
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.14.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(conn)
		}
	}()
	return k, nil
}

func (k *link) wait() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

func (k *link) forward(in net.Conn) {
	defer in.Close()
	k.wait()
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	copyOneWay := func(to, from net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			k.wait()
			if n > 0 {
				_, _ = to.Write(buf[:n])
			}
			if err != nil {
				if err == io.EOF {
					_ = to.(*net.TCPConn).CloseWrite()
				}
				done <- struct{}{}
				return
			}
		}
	}
	go copyOneWay(out, in)
	go copyOneWay(in, out)
	<-done
	<-done
}

// runLateLeave lets a backend leave while its machine is cut off, so that its
// departure arrives only after the backend has started again under its id, at another
// address whose links have no disruption. It counts the flows of the new start that
// the system resets.
func runLateLeave(rec *record, trouble bool) (broken bool, err error) {
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
	k, err := newLink(d.controls[0].addr(portAPI))
	if err != nil {
		return false, err
	}
	first, err := newBackend(d, "pantanir", zones[0], 0)
	if err != nil {
		return false, err
	}
	go first.serve()
	stopFirst := make(chan struct{})
	// One connection, kept open, to the control host that answered with its address.
	keepAlive := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	call := func(path string, body []byte) int {
		resp, err := keepAlive.Post("http://"+k.listener.Addr().String()+path, "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	var announcing sync.WaitGroup
	announcing.Go(func() {
		for {
			call("/api/Instances.Heartbeat/"+first.id, first.heartbeat())
			select {
			case <-stopFirst:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	})
	if !d.waitReady(15 * time.Second) {
		rec.logf("the entry hosts did not get ready")
		return false, errNotRun
	}
	rec.logf("backend %s at %s, born %d: ready", first.id, first.address(), first.born)
	time.Sleep(connectivityWindow)
	first.mu.Lock()
	first.state = "draining"
	first.mu.Unlock()
	rec.logf("backend %s says that it is draining", first.id)
	time.Sleep(drainMs*time.Millisecond + 2*heartbeatInterval)
	close(stopFirst)
	announcing.Wait()

	cutAt := time.Now()
	if trouble {
		k.cut()
		rec.logf("the machine of backend %s is cut off for %v", first.id, cutFor)
	}
	status := call("/api/Instances.Leave/"+first.id, nil)
	rec.logf("backend %s, born %d, leaves: POST /api/Instances.Leave/%s -> %d", first.id, first.born, first.id, status)
	if status != http.StatusOK {
		time.Sleep(givesUpAfter - time.Since(cutAt))
	}
	_ = first.conn.Close()
	rec.logf("backend %s, born %d, has exited", first.id, first.born)

	second, err := newBackend(d, "pantanir", zones[1], 1)
	if err != nil {
		return false, err
	}
	second.id, second.number = first.id, first.number
	stop := make(chan struct{})
	defer close(stop)
	go second.serve()
	go second.announce(stop)
	rec.logf("backend %s starts again at %s, born %d", second.id, second.address(), second.born)
	cl, err := newClient(d, 0)
	if err != nil {
		return false, err
	}
	var flows []*flow
	for until := time.Now().Add(2 * time.Second); len(flows) < lateFlows && time.Now().Before(until); {
		f := cl.newFlow(d.entries[len(flows)%len(d.entries)], route)
		if f.open() == "open" && f.request(fmt.Sprintf("first-%d", len(flows))) == "answered" {
			flows = append(flows, f)
			continue
		}
		time.Sleep(20 * time.Millisecond)
	}
	rec.logf("%d flows are open at backend %s, born %d", len(flows), second.id, second.born)
	if len(flows) < lateFlows {
		return false, errNotRun
	}
	healed := !trouble
	resets, answered, silent := 0, 0, 0
	for n, until := 0, time.Now().Add(lateObserve); time.Now().Before(until); n++ {
		if !healed && time.Since(cutAt) >= cutFor {
			healed = true
			k.heal()
			rec.logf("the cut ends")
		}
		var kept []*flow
		for i, f := range flows {
			switch how := f.request(fmt.Sprintf("%d-%d", i, n)); how {
			case "answered":
				answered++
				kept = append(kept, f)
			case "reset by the system":
				resets++
				rec.logf("flow %v of backend %s, born %d, which lives and has no disruption: %s", f.key.client, f.backend, second.born, how)
			default:
				silent++
				rec.logf("flow %v of backend %s: %s", f.key.client, f.backend, how)
			}
		}
		flows = kept
		time.Sleep(requestInterval)
	}
	rec.logf("%d requests answered, %d flows reset by the system, %d without an answer", answered, resets, silent)
	return resets > 0, nil
}
