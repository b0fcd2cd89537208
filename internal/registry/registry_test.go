package registry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
	"greengagequay/internal/registry"
)

var start = time.Unix(1e9, 0)

func newRegistry(host string) *registry.Registry {
	return registry.New(registry.Options{Host: host, Zone: "rvk-a", Served: func(s string) bool { return s == "pantanir" }})
}

func backend(n int) model.Backend {
	return model.Backend{
		ID: fmt.Sprintf("pantanir-%d", n), Service: "pantanir", Zone: "rvk-a", State: model.Ready, Incarnation: 10,
		Request: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(n)),
	}
}

func hosts(names ...string) []model.Host {
	var list []model.Host
	for _, n := range names {
		list = append(list, model.Host{Name: n, Zone: "rvk-a", Entry: true, State: model.Alive})
	}
	return list
}

// Guards against a backend server that is gone because another one has the number of its UDP port for TCP.
func TestPortsOfUDPAndTCPAreSeparate(t *testing.T) {
	c := qt.New(t)
	r := newRegistry("a")
	first, second := backend(1), backend(2)
	first.Packet = netip.MustParseAddrPort("10.0.0.1:5000")
	second.Request, second.Incarnation = first.Packet, first.Incarnation+1
	for _, b := range []model.Backend{first, second, first} {
		_, _, err := r.Announce(start, b)
		c.Assert(err, qt.IsNil)
	}
	for _, b := range r.Backends() {
		c.Check(b.State, qt.Equals, model.Ready, qt.Commentf("%s", b.ID))
	}
}

func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*model.Backend)
		kind   fault.Kind // empty if the announcement is accepted
		remedy string
		gone   string // backend server that the announcement replaces, which is gone then
	}{
		{"repeated", func(b *model.Backend) {}, "", "", ""},
		{"drains", func(b *model.Backend) { b.State = model.Draining }, "", "", ""},
		{"restarted at another address", func(b *model.Backend) { b.Incarnation = 11; b.Request = backend(9).Request }, "", "", ""},
		{"old incarnation", func(b *model.Backend) { b.Incarnation = 9 }, fault.Conflict, "older process", ""},
		{"same incarnation at another address", func(b *model.Backend) { b.Request = backend(9).Request }, fault.Conflict, "higher incarnation", ""},
		{"wrong zone", func(b *model.Backend) { b.Zone = "rvk-b" }, fault.Invalid, "zone rvk-b", ""},
		{"unknown service", func(b *model.Backend) { *b = backend(5); b.Service = "kaka" }, fault.NotFound, "create the service", ""},
		{"unknown state", func(b *model.Backend) { b.State = "happy" }, fault.Invalid, "starting, ready", ""},
		{"no address", func(b *model.Backend) { b.Request = netip.AddrPort{} }, fault.Invalid, "requestAddress", ""},
		{"address of a lower incarnation", func(b *model.Backend) { b.ID, b.Incarnation = "new", 11 }, "", "", "pantanir-1"},
		{"address of the same incarnation", func(b *model.Backend) { b.ID, b.Incarnation = "new", 10 }, fault.Conflict, "address of its own", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRegistry("a")
			_, lease, err := r.Announce(start, backend(1))
			c.Assert(err, qt.IsNil)
			c.Assert(lease, qt.Equals, registry.DefaultLease)
			b := backend(1)
			tc.change(&b)
			_, _, err = r.Announce(start.Add(time.Second), b)
			if tc.kind != "" {
				c.Assert(fault.KindOf(err), qt.Equals, tc.kind)
				c.Assert(err, qt.ErrorMatches, ".*"+tc.remedy+".*")
				return
			}
			c.Assert(err, qt.IsNil)
			for _, got := range r.Backends() {
				switch got.ID {
				case tc.gone:
					c.Check(got.State, qt.Equals, model.Gone)
				case b.ID:
					c.Check(got.State, qt.Equals, b.State)
				}
			}
		})
	}
}

func TestFlood(t *testing.T) {
	c := qt.New(t)
	r := newRegistry("a")
	items, limited := 0, 0
	now := start
	for i := range 20000 {
		now = now.Add(time.Millisecond / 2) // 2000 per second
		b := backend(i % 50000)
		b.ID = fmt.Sprintf("made-up-%d", i)
		got, _, err := r.Announce(now, b)
		items += len(got)
		if err != nil && fault.KindOf(err) == fault.Limited {
			limited++
		}
	}
	c.Check(len(r.Backends()) <= 4096, qt.IsTrue)
	c.Check(items <= 4096, qt.IsTrue)
	c.Check(limited > 10000, qt.IsTrue)

	r = newRegistry("a") // one backend server that changes with each announcement
	items = 0
	for i := range 100 {
		b := backend(1)
		b.Slots = i
		got, _, _ := r.Announce(start.Add(time.Duration(i)*10*time.Millisecond), b)
		items += len(got)
	}
	c.Check(items <= 10, qt.IsTrue)
}

// pair is two hosts of a zone that receive each other's items and renewals at
// once.
type pair struct {
	c    *qt.C
	now  time.Time
	live []string
	all  map[string]*registry.Registry
}

func newPair(c *qt.C) *pair {
	return &pair{c: c, now: start, live: []string{"a", "b"}, all: map[string]*registry.Registry{"a": newRegistry("a"), "b": newRegistry("b")}}
}

func (p *pair) deliver(items []member.Item) {
	for _, r := range p.all {
		for _, i := range items {
			p.c.Assert(r.MergeItem(p.now, i), qt.IsNil)
		}
	}
}

// run advances the time by d. If to is not empty, b is announced to that host
// each second.
func (p *pair) run(d time.Duration, to string, b model.Backend) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		if to != "" && p.now.Sub(start)%time.Second == 0 {
			items, _, err := p.all[to].Announce(p.now, b)
			p.c.Assert(err, qt.IsNil)
			p.deliver(items)
		}
		for _, name := range p.live {
			out := p.all[name].Tick(p.now, hosts(p.live...))
			p.deliver(out.Items)
			for host, list := range out.Renewals {
				for _, data := range registry.EncodeRenewals(list) {
					got, err := registry.DecodeRenewals(data)
					p.c.Assert(err, qt.IsNil)
					p.all[host].ReceiveRenewals(p.now, got)
				}
			}
		}
	}
}

func (p *pair) state(host string) model.BackendState { return p.all[host].Backends()[0].State }

func (p *pair) silent(host string) bool { return p.all[host].Backends()[0].Silent }

func TestLease(t *testing.T) {
	for n := range 8 { // with some IDs host a is the lease owner, with others host b
		c := qt.New(t)
		p := newPair(c)
		b := backend(n)
		p.run(20*time.Second, "a", b)
		p.run(20*time.Second, "b", b)
		c.Check(p.state("a"), qt.Equals, model.Ready)
		c.Check(p.state("b"), qt.Equals, model.Ready)
		p.run(7*time.Second, "", b)
		c.Check(p.silent("a"), qt.IsTrue)
		c.Check(p.silent("b"), qt.IsTrue)
		c.Check(p.state("a"), qt.Equals, model.Ready)
		p.run(registry.SilentGracePeriod, "", b)
		c.Check(p.state("a"), qt.Equals, model.Gone)
		c.Check(p.state("b"), qt.Equals, model.Gone)
		p.run(2*time.Second, "a", b) // it is running and announces itself again
		c.Check(p.state("b"), qt.Equals, model.Ready)
		c.Check(p.silent("b"), qt.IsFalse)
	}
}

func TestLeaseOwnerLost(t *testing.T) {
	for n := range 8 {
		c := qt.New(t)
		p := newPair(c)
		b := backend(n)
		p.run(10*time.Second, "a", b)
		p.live = []string{"a"} // host b has failed, and may have been the lease owner
		p.run(10*time.Second, "a", b)
		c.Check(p.state("a"), qt.Equals, model.Ready)
		p.run(12*time.Second, "", b)
		c.Check(p.silent("a"), qt.IsTrue)
		p.run(registry.SilentGracePeriod, "", b)
		c.Check(p.state("a"), qt.Equals, model.Gone)
	}
}

func TestPausedLeaseOwnerExpiresNoLease(t *testing.T) {
	c := qt.New(t)
	r := newRegistry("a")
	_, _, err := r.Announce(start, backend(1))
	c.Assert(err, qt.IsNil)
	r.Tick(start, hosts("a"))
	out := r.Tick(start.Add(time.Hour), hosts("a"))
	c.Assert(out.Items, qt.HasLen, 0)
	out = r.Tick(start.Add(time.Hour+400*time.Millisecond), hosts("a"))
	c.Assert(out.Items, qt.HasLen, 0)
}

func FuzzMergeItem(f *testing.F) {
	items, _, err := newRegistry("a").Announce(start, backend(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("b/x", items[0].Body, false)
	f.Add("", []byte{0x80}, true)
	f.Fuzz(func(t *testing.T, key string, body []byte, gone bool) {
		r := newRegistry("a")
		if r.MergeItem(start, member.Item{Key: key, Zone: "rvk-a", Version: 1, Body: body, Gone: gone}) == nil {
			r.Tick(start.Add(time.Second), hosts("a"))
		}
		if list, err := registry.DecodeRenewals(body); err == nil {
			r.ReceiveRenewals(start, list)
		}
	})
}
