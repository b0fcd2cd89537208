package fleet

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/feed"
	"greengagequay/internal/simlink"
)

var hostCount = flag.Int("hosts", 30, "entry hosts in TestStatesOverSlowLinksOfControlHosts")

// firstStates returns, in order, when each of many entry hosts that start at the same
// moment has its first state, if the links of the control hosts are the bottleneck.
func firstStates(t *testing.T, entryHosts int, linkMbps float64, syncPause, stallPause, limit time.Duration) (first []time.Duration, states int) {
	const controlHosts = 6
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		links, listeners := map[string]*simlink.Link{}, map[string]*simlink.Listener{}
		var addrs []string
		var servers []*feed.Server
		records := randomRecords(3000)
		for i := range controlHosts {
			addr := fmt.Sprintf("c%d", i)
			addrs, links[addr], listeners[addr] = append(addrs, addr), simlink.New(linkMbps), simlink.Listen()
			info := feed.HostInfo{Name: addr, Addr: addr, Zone: fmt.Sprint(i), Control: true}
			servers = append(servers, feed.Serve(listeners[addr], &controlStandin{info: info, records: records, changed: make(chan struct{})}))
		}
		start := time.Now()
		var sinks []*stateSink
		for i := range entryHosts {
			sink := &stateSink{since: start}
			name := fmt.Sprintf("e%d", i)
			hosts := newControlHosts(ctx, feed.HostInfo{Name: name, Zone: fmt.Sprint(i % controlHosts), Addr: name}, nil, sink)
			sink.hosts, hosts.cold, hosts.syncPause, hosts.stallPause = hosts, true, syncPause, stallPause
			hosts.follow = func(ctx context.Context, to feed.Target, self feed.HostInfo, sink feed.Sink) (*feed.Connection, error) {
				conn, err := links[to.Addr].Dial(listeners[to.Addr])
				if err != nil {
					return nil, err
				}
				return feed.FollowConn(ctx, conn, to, self, sink)
			}
			hosts.setSeeds(addrs[:3])
			for _, addr := range addrs[3:] {
				hosts.recordFollower(feed.HostInfo{Addr: addr})
			}
			sinks = append(sinks, sink)
			entry := &EntryHost{cfg: Config{Name: name, Zone: fmt.Sprint(i % controlHosts)}, controlHosts: hosts}
			go func() {
				for time.Since(start) < limit {
					hosts.updateWarm(func() bool { return sink.arrived() > 0 })
					hosts.reconcile(entry.selectControlHosts)
					select {
					case <-time.After(coldTick):
					case <-hosts.wake:
					}
				}
			}()
		}
		time.Sleep(limit + time.Second)
		for _, s := range sinks {
			s.mu.Lock()
			states += len(s.after)
			if len(s.after) > 0 {
				first = append(first, s.after[0])
			}
			s.mu.Unlock()
		}
		cancel()
		for _, s := range servers {
			s.Close()
		}
		time.Sleep(time.Minute) // until the links have carried what was in transfer
		synctest.Wait()
	})
	slices.Sort(first)
	return first, states
}

// TestStatesOverSlowLinksOfControlHosts guards against a start at which entry hosts load
// so many states at once that none gets through. With "-hosts 300 -v" it shows the times
// at the size of a deployment.
func TestStatesOverSlowLinksOfControlHosts(t *testing.T) {
	const limit = 30 * time.Second
	linkMbps := float64(*hostCount) / 30 // carries one state for each entry host in 2.4 s
	for name, pauses := range map[string][2]time.Duration{"as before": {}, "fast start": {warmSyncPause, coldStallPause}} {
		t.Run(name, func(t *testing.T) {
			first, states := firstStates(t, *hostCount, linkMbps, pauses[0], pauses[1], limit)
			qt.Assert(t, first, qt.HasLen, *hostCount)
			t.Logf(t.Name()+": first states: middle after %v, last after %v; %d states in %v", first[len(first)/2], first[len(first)-1], states, limit)
		})
	}
}
