// Package route decides where a packet goes. It is pure: view, packet and
// records in, verdict out. It opens no socket, reads no clock and starts no
// goroutine.
//
// A packet of a stable bucket goes to the bucket's candidate by the table
// alone. A packet of a moving bucket goes to the bucket's home, which keeps a
// record of each flow. What the home has no record of passes through the
// backups on its way to the backend server: a record that a backup holds
// counts, and no backend server sees an opening packet whose record is not
// held by the home and its backups.
package route

import (
	"greengagequay/internal/flow"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// Action is what an entry host does with a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota // discard; the sender sends it again
	Forward               // send to the backend server
	Relay                 // send to another entry host, after the header
	Reset                 // answer with a reset
)

// Reason tells why a packet was dropped or reset.
type Reason uint8

// The reasons.
const (
	None           Reason = iota
	UnknownService        // no service has the destination address
	NoBackend             // the service has no backend server
	LostBackend           // the flow's backend server has gone
	NoHome                // the bucket's home is not in the table
	TooManyHops           // the tables of hosts differ by too much
	StaleTable            // this host's table is too old to decide
	Full                  // the store of records is full
	CutOff                // the flow's backend server cannot be reached
	Stalled               // the client repeats itself without progress
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "unknown_service", "no_backend", "lost_backend", "no_home",
	"too_many_hops", "stale_table", "full", "cut_off", "stalled",
}

// String returns the name under which the reason is counted.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons for a drop or a reset.
func Reasons() []Reason {
	var all []Reason
	for r := UnknownService; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Confirm bool             // the header is a confirmation to send to Header.Home
	Backend table.BackendNum // of Forward
	To      table.HostNum    // of Relay
	Flow    uint64           // fingerprint of the flow
}

// Router decides with the records of one entry host. It is safe for
// concurrent use.
type Router struct {
	Records *records.Store
	kept    keptSet
}

// NewRouter returns a router that keeps at most limit records.
func NewRouter(limit int) *Router {
	return &Router{Records: records.New(limit)}
}

// Route decides on a packet that came from the fabric. For a packet to relay it
// fills in h, in which the caller has set the source alone.
func (r *Router) Route(now records.Seconds, v *View, p *flow.Packet, h *Header) Verdict {
	svc := v.service(p)
	if svc == nil {
		return Verdict{Action: Drop, Reason: UnknownService}
	}
	hash := p.Hash(v.Table.Seed)
	index := hash & svc.Mask
	b := &svc.Buckets[index]
	if b.Phase == table.Stable && !v.special {
		if n := b.Unknown(); n != 0 {
			return Verdict{Action: Forward, Backend: n, Flow: hash}
		}
		return Verdict{Action: Reset, Reason: NoBackend, Flow: hash}
	}
	return r.special(now, v, &decision{svc: svc, bucket: b, index: index, flow: hash, packet: p, header: h})
}

// decision is what the decision on one packet depends on besides the view.
type decision struct {
	svc    *table.Service
	bucket *table.Bucket
	index  uint64
	flow   uint64
	packet *flow.Packet
	header *Header // in: of a relayed packet; out: of the packet to relay
}

// special decides on a packet from the fabric whose bucket moves, or while the
// host is cut off or holds records of a time when it was.
func (r *Router) special(now records.Seconds, v *View, d *decision) Verdict {
	if v.isCut() {
		return r.cutOff(now, v, d)
	}
	return r.byBucket(now, v, d)
}

// byBucket decides by the bucket's phase. A record from the time when this
// host was cut off goes before the table, until the home has it.
func (r *Router) byBucket(now records.Seconds, v *View, d *decision) Verdict {
	home := d.bucket.Moving() && d.bucket.Home == v.self
	if !home && r.kept.has(d.svc.Name, int(d.index)) {
		if n, _, ok := r.Records.Lookup(d.flow, now); ok && v.delivers(n, d.svc) {
			return d.forward(n)
		}
	}
	switch {
	case home:
		return r.home(now, v, d)
	case d.bucket.Moving():
		return v.toHome(d, d.bucket.Home)
	}
	return v.byTable(d)
}

// byTable forwards to the candidate that has the unknown flows.
func (v *View) byTable(d *decision) Verdict {
	n := d.bucket.Unknown()
	if n == 0 {
		return d.verdict(Reset, NoBackend)
	}
	if !v.delivers(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	return d.forward(n)
}

// Undeliverable is the verdict on a packet whose backend server is no longer
// in the table.
func Undeliverable(flow uint64) Verdict {
	return Verdict{Action: Reset, Reason: LostBackend, Flow: flow}
}

func (d *decision) verdict(a Action, why Reason) Verdict {
	return Verdict{Action: a, Reason: why, Flow: d.flow}
}

func (d *decision) forward(n table.BackendNum) Verdict {
	return Verdict{Action: Forward, Backend: n, Flow: d.flow}
}
