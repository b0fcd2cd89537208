package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/flow"
	"greengagequay/internal/records"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// homePair is a home (host 1) and its backup (host 2) that have the same table, in
// which all buckets have the candidates 1 and 2.
type homePair struct {
	table        *table.Table
	home, backup *route.Router
}

// newPair returns a pair whose buckets are in the phase. The function change, if
// given, modifies each bucket.
func newPair(phase table.Phase, change func(*table.Bucket)) *homePair {
	t := benchTable(phase)
	t.Hosts[2] = table.Host{Num: 2, Name: "backup"}
	svc := t.ByName["pantanir"]
	for i := range svc.Buckets {
		b := table.Bucket{Candidates: [4]table.BackendNum{1, 2}, Phase: phase, Home: 1, Backups: [2]table.HostNum{2}}
		if phase != table.Prepare {
			b.Target = 1
		}
		if change != nil {
			change(&b)
		}
		svc.Buckets[i] = b
	}
	return &homePair{table: t, home: route.NewRouter(100), backup: route.NewRouter(100)}
}

// send delivers a packet to the home and, if the home relays it, to the backup. It
// returns the last verdict and whether the home relayed the packet.
func (p *homePair) send(packet flow.Packet) (route.Verdict, bool) {
	var h route.Header
	v := p.home.Route(1, route.NewView(p.table, "host", p.home), &packet, &h)
	if v.Action != route.Relay {
		return v, false
	}
	v = p.backup.Relayed(1, route.NewView(p.table, "backup", p.backup), &packet, &h)
	if v.Confirm {
		p.home.Confirmed(1, h)
	}
	return v, true
}

func openingPacket(p flow.Packet) flow.Packet {
	p.SYN, p.ACK = true, false
	return p
}

func TestPhases(t *testing.T) {
	data := benchFlows()[0]
	for _, test := range []struct {
		phase       table.Phase
		open, other table.BackendNum
	}{{table.Prepare, 1, 1}, {table.Move, 2, 1}} {
		c := qt.New(t)
		v, _ := newPair(test.phase, nil).send(openingPacket(data))
		c.Check(v.Backend, qt.Equals, test.open)
		v, _ = newPair(test.phase, nil).send(data)
		c.Check(v.Backend, qt.Equals, test.other)
	}
}

// After a flow is recorded, the home forwards its packets without the backup, and
// a retransmitted opening packet goes to the same backend server as the first.
func TestRecordedFlowStays(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, nil)
	data := benchFlows()[0]
	_, relayed := p.send(openingPacket(data))
	c.Assert(relayed, qt.IsTrue)
	v, relayed := p.send(data)
	c.Check(relayed, qt.IsFalse)
	c.Check(v.Backend, qt.Equals, table.BackendNum(2))
	svc := p.table.ByName["pantanir"]
	for i := range svc.Buckets {
		svc.Buckets[i].Candidates[1] = 3
	}
	v, _ = p.send(openingPacket(data))
	c.Check(v.Backend, qt.Equals, table.BackendNum(2))
}

// A home that lost its records in a restart uses those of its backup.
func TestRestartedHomeAsksBackup(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, nil)
	data := benchFlows()[0]
	p.send(openingPacket(data))
	p.home = route.NewRouter(100)
	v, _ := p.send(data)
	c.Check(v.Backend, qt.Equals, table.BackendNum(2))
	v, relayed := p.send(data)
	c.Check(relayed, qt.IsFalse)
	c.Check(v.Backend, qt.Equals, table.BackendNum(2))
}

// The current home decides on a packet that a former home placed.
func TestFormerHome(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, nil)
	data := benchFlows()[0]
	var h route.Header
	p.home.Route(1, route.NewView(p.table, "host", p.home), &data, &h)
	next := newPair(table.Settle, func(b *table.Bucket) { b.Home, b.Backups[0], b.Fallback = 2, 0, 1 }).table
	next.Revision = 2
	v := p.backup.Relayed(1, route.NewView(next, "backup", p.backup), &data, &h)
	c.Check(v.Action, qt.Equals, route.Forward)
	c.Check(p.backup.Records.Len(), qt.Equals, 1)
}

// A packet is dropped after maxHops relays instead of being relayed in a loop.
func TestNoLoop(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, func(b *table.Bucket) { b.Home = 2 })
	data := benchFlows()[0]
	view := route.NewView(p.table, "host", p.home)
	h := route.Header{Stage: route.ToHome, Hops: 1}
	c.Check(p.home.Relayed(1, view, &data, &h).Action, qt.Equals, route.Relay)
	v := p.home.Relayed(1, view, &data, &h)
	c.Check(v.Action, qt.Equals, route.Drop)
	c.Check(v.Reason, qt.Equals, route.TooManyHops)
}

// Even a wrong record never sends a packet to a backend server of another
// service.
func TestOtherServiceGetsNothing(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, func(b *table.Bucket) { b.Backups[0] = 0 })
	data := benchFlows()[0]
	other := p.table.Backends[5]
	other.Service = "myndir"
	p.table.Backends[5] = other
	p.home.Records.Put(records.Record{Flow: data.Hash(7), Backend: 5}, records.Confirmed, 1)
	v, _ := p.send(data)
	c.Check(v.Action, qt.Equals, route.Reset)
}

func TestLostBackendIsReset(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, nil)
	data := benchFlows()[0]
	p.send(openingPacket(data))
	delete(p.table.Backends, 2)
	v, _ := p.send(data)
	c.Check(v.Action, qt.Equals, route.Reset)
	c.Check(v.Reason, qt.Equals, route.LostBackend)
}

// When the store is full, new flows go to the candidate for flows without a
// record.
func TestFullStore(t *testing.T) {
	c := qt.New(t)
	p := newPair(table.Move, nil)
	p.home = route.NewRouter(0)
	v, relayed := p.send(openingPacket(benchFlows()[0]))
	c.Check(relayed, qt.IsFalse)
	c.Check(v.Backend, qt.Equals, table.BackendNum(1))
}

func TestStalls(t *testing.T) {
	c := qt.New(t)
	s := route.NewStallDetector()
	p := benchFlows()[0]
	p.PayloadLen = 10
	at := time.Unix(1000, 0)
	seen := func(after time.Duration) bool { return s.Observe(at.Add(after), 20*time.Second, 99, &p) }
	c.Check(seen(0), qt.IsFalse)
	c.Check(seen(19*time.Second), qt.IsFalse)
	c.Check(seen(21*time.Second), qt.IsTrue)
	c.Check(seen(22*time.Second), qt.IsFalse)
	p.Ack++ // the client has received data since
	c.Check(seen(50*time.Second), qt.IsFalse)
}

func FuzzHeader(f *testing.F) {
	f.Add(route.Header{Stage: route.ToBackup, Home: 3, Backend: 4, Flow: 5}.Append(nil))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, rest, err := route.ParseHeader(data)
		if err != nil {
			return
		}
		again, _, err := route.ParseHeader(h.Append(nil))
		if err != nil || again != h || len(rest) != len(data)-route.HeaderBytes {
			t.Fatalf("%+v became %+v: %v", h, again, err)
		}
	})
}
