package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/feed"
	"greengagequay/internal/simlink"
)

// controlStandin is a control host without a quorum, as after a loss of power, that
// knows backend servers and a document.
type controlStandin struct {
	info    feed.HostInfo
	records []catalog.Record
	changed chan struct{}
}

var standinPosition = feed.Cursor{Revision: 1, Version: 1, Started: true}

func (c *controlStandin) Greeting() feed.Update { return feed.Update{From: c.info} }

func (c *controlStandin) Position(feed.HostInfo) feed.Cursor { return standinPosition }

func (c *controlStandin) Next(feed.Hello, feed.Cursor) (feed.Update, feed.Cursor, bool) {
	return feed.Update{From: c.info, Records: c.records, Document: &document.Document{Version: 1}}, standinPosition, true
}

func (c *controlStandin) Changed() <-chan struct{} { return c.changed }

func (c *controlStandin) FrameFailed(string, error) {}

func (c *controlStandin) FollowerChanged(feed.HostInfo, bool) {}

func (c *controlStandin) Reported(feed.HostInfo, feed.Report) {}

// stateSink notes when the state of each control host arrived.
type stateSink struct {
	hosts *controlHosts
	mu    sync.Mutex
	since time.Time
	after []time.Duration // from since
	lost  int             // connections that ended after the state had arrived
}

func (s *stateSink) FrameFailed(string, error) {}

func (s *stateSink) ConnectionChanged(_ string, connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !connected {
		s.lost++
	}
}

func (s *stateSink) Updated(addr string, u feed.Update) {
	defer s.hosts.recordUpdate(addr, u)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(u.Records) > 0 {
		s.after = append(s.after, time.Since(s.since))
	}
}

// arrived returns the number of states that arrived.
func (s *stateSink) arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.after)
}

// randomRecords returns records of backend servers whose ids are random, as those
// of real ones.
func randomRecords(n int) []catalog.Record {
	rng := rand.New(rand.NewPCG(1, 1))
	var list []catalog.Record
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
		list = append(list, catalog.Record{
			Heartbeat: catalog.Heartbeat{
				ID: fmt.Sprintf("i-%010x", rng.Uint64()>>24), Service: "orders", Zone: "zone-a", Slots: 2,
				Address: address, Born: 1_792_505_440_000 + rng.Int64N(1_000_000), Sequence: rng.Uint64N(100),
			},
			Owner: "10.2.0.42:7580",
		})
	}
	return list
}

// After a loss of power all control hosts are without a quorum for a while, so a
// cold entry host follows all of them. It must get the state of each, although
// its slow link carries the states of all of them only in several seconds.
func TestColdHostOnASlowLink(t *testing.T) {
	c := qt.New(t)
	after := loadStates(t, 0, false)
	c.Assert(after, qt.HasLen, hostsOnSlowLink, qt.Commentf("each state arrives, and only once"))
	c.Assert(after[0] < slowLinkTimeLimit/4, qt.IsTrue, qt.Commentf("the first state does not wait for the others: %v", after[0]))
}

// Guards against states that a host loads over its slow link while it could forward
// packets. Without a quorum it still loads one from time to time, since control hosts may
// know different backend servers.
func TestHostThatPlacesFlowsLoadsFurtherStatesSlowly(t *testing.T) {
	c := qt.New(t)
	after := loadStates(t, warmSyncPause, false)
	c.Assert(len(after), qt.Equals, int(slowLinkTimeLimit/warmSyncPause))
	for i, at := range after[1:] {
		c.Assert(at >= time.Duration(i+1)*warmSyncPause, qt.IsTrue, qt.Commentf("%v", after))
	}
	after = loadStates(t, warmSyncPause, true)
	c.Assert(after, qt.HasLen, hostsOnSlowLink, qt.Commentf("a host that lacks backend servers does not wait"))
}

const (
	hostsOnSlowLink = 6
	// slowLinkTimeLimit is the time after which a host that is back counts as in touch.
	slowLinkTimeLimit = 4 * time.Second
)

// loadStates returns when the states of control hosts without a quorum arrived at an
// entry host that could place flows with the first one.
func loadStates(t *testing.T, syncPause time.Duration, incomplete bool) []time.Duration {
	const linkMbps = 1.4
	sink := &stateSink{}
	synctest.Test(t, func(t *testing.T) {
		link := simlink.New(linkMbps)
		listeners := map[string]*simlink.Listener{}
		ctx, cancel := context.WithCancel(t.Context())
		sink.since = time.Now()
		hosts := newControlHosts(ctx, feed.HostInfo{Name: "e1", Zone: "a", Addr: "e1"}, nil, sink)
		sink.hosts = hosts
		hosts.cold, hosts.syncPause, hosts.incomplete = true, syncPause, incomplete
		hosts.follow = func(ctx context.Context, to feed.Target, self feed.HostInfo, sink feed.Sink) (*feed.Connection, error) {
			conn, err := link.Dial(listeners[to.Addr])
			if err != nil {
				return nil, err
			}
			return feed.FollowConn(ctx, conn, to, self, sink)
		}
		var addrs []string
		var servers []*feed.Server
		for i := range hostsOnSlowLink {
			addr := fmt.Sprintf("c%d", i)
			listeners[addr] = simlink.Listen()
			info := feed.HostInfo{Name: addr, Addr: addr, Zone: fmt.Sprint(i), Control: true}
			source := &controlStandin{info: info, records: randomRecords(2000), changed: make(chan struct{})}
			servers = append(servers, feed.Serve(listeners[addr], source))
			addrs = append(addrs, addr)
		}
		hosts.setSeeds(addrs)
		entry := &EntryHost{cfg: Config{Name: "e1", Zone: "a"}, controlHosts: hosts}
		for time.Since(sink.since) < slowLinkTimeLimit {
			hosts.updateWarm(func() bool { return sink.arrived() > 0 })
			hosts.reconcile(entry.selectControlHosts)
			select {
			case <-time.After(coldTick):
			case <-hosts.wake:
			}
		}
		cancel()
		for _, s := range servers {
			s.Close()
		}
		time.Sleep(time.Second) // until the link has carried what was in transfer
		synctest.Wait()
		t.Logf("states arrived after %v", sink.after)
	})
	return sink.after
}
