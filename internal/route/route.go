// Package route decides where a packet goes. A decision depends only on the
// view, the packet, the records and the time that the caller passes in. The
// package opens no sockets, reads no clock and starts no goroutines.
//
// A packet of a stable bucket is forwarded to the bucket's candidate according
// to the table alone. A packet of a moving bucket is relayed to the bucket's
// home, which keeps a record of each flow. The record is confirmed once the
// backups hold it too. A packet of a flow without a confirmed record passes through
// the backups on its way to the backend server. If a backup already has a record
// of the flow, that record is used. Unless a record store is full, a backend
// server receives an opening packet only after the home and its backups have
// recorded the flow.
//
// A host is cut off while its lease is expired because it does not reach the
// control quorum. It relays packets of all buckets, also stable ones, to their homes
// or, for homes that it cannot reach, to substitutes among the hosts that it
// reaches. These record the flows that are opened meanwhile.
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
	Drop    Action = iota // discard the packet; the sender retransmits it
	Forward               // send to the backend server
	Relay                 // send to another entry host, preceded by the header
	Reset                 // answer the sender with a reset
)

// Reason is why a packet was dropped or reset.
type Reason uint8

// The reasons.
const (
	None           Reason = iota
	UnknownService        // no service has the destination address
	NoBackend             // the service has no usable backend server
	LostBackend           // the flow's backend server is gone or unknown
	NoHome                // the bucket's home is not in the table
	TooManyHops           // relayed maxHops times without reaching the home
	StaleTable            // this host's table is too old to decide
	Full                  // the record store is full
	CutOff                // this cut-off host cannot reach the flow's backend server
	Stalled               // the client keeps repeating the same packet
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "unknown_service", "no_backend", "lost_backend", "no_home",
	"too_many_hops", "stale_table", "full", "cut_off", "stalled",
}

// String returns the name of the reason in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons except None.
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
	Confirm bool             // the header is a confirmation that the caller sends to Header.Home
	Backend table.BackendNum // destination of Forward
	To      table.HostNum    // destination of Relay
	Flow    uint64           // fingerprint of the flow
}

// Router decides where packets go, with the records of one entry host. It is
// safe for concurrent use.
type Router struct {
	Records       *records.Store
	cutOffBuckets bucketSet
}

// NewRouter returns a router that stores at most limit records.
func NewRouter(limit int) *Router {
	return &Router{Records: records.New(limit)}
}

// Route decides on a packet that the network delivered to this host directly.
// The caller sets only the source in h. If the packet is to be relayed, Route
// fills in the rest.
func (r *Router) Route(now records.Seconds, v *View, p *flow.Packet, h *Header) Verdict {
	svc := v.service(p)
	if svc == nil {
		return Verdict{Action: Drop, Reason: UnknownService}
	}
	hash := p.Hash(v.Table.Seed)
	index := hash & svc.Mask
	b := &svc.Buckets[index]
	if b.Phase == table.Stable && !v.checkRecords {
		if n := b.Unknown(); n != 0 {
			return Verdict{Action: Forward, Backend: n, Flow: hash}
		}
		return Verdict{Action: Reset, Reason: NoBackend, Flow: hash}
	}
	return r.slowPath(now, v, &decision{svc: svc, bucket: b, index: index, flow: hash, packet: p, header: h})
}

// decision holds the inputs of the decision on one packet, except the view.
type decision struct {
	svc    *table.Service
	bucket *table.Bucket
	index  uint64
	flow   uint64
	packet *flow.Packet
	header *Header // on input, the header of a relayed packet; on output, of the packet to relay
}

// slowPath decides on a packet that the network delivered directly, if its
// bucket is moving, the host is cut off, or the host holds records from a
// period when it was cut off.
func (r *Router) slowPath(now records.Seconds, v *View, d *decision) Verdict {
	if v.isCutOff() {
		return r.decideCutOff(now, v, d)
	}
	return r.decideByPhase(now, v, d)
}

// decideByPhase decides by the bucket's phase. A record from a period when this host
// was cut off takes precedence over the table until the home has it.
func (r *Router) decideByPhase(now records.Seconds, v *View, d *decision) Verdict {
	home := d.bucket.Moving() && d.bucket.Home == v.self
	if !home && r.cutOffBuckets.has(d.svc.Name, int(d.index)) {
		if n, _, ok := r.Records.Lookup(d.flow, now); ok && v.canDeliver(n, d.svc) {
			return d.forward(n)
		}
	}
	switch {
	case home:
		return r.decideAsHome(now, v, d)
	case d.bucket.Moving():
		return v.relayToHome(d, d.bucket.Home)
	}
	return v.forwardByTable(d)
}

// forwardByTable forwards to the candidate that has the flows without a record.
func (v *View) forwardByTable(d *decision) Verdict {
	n := d.bucket.Unknown()
	if n == 0 {
		return d.verdict(Reset, NoBackend)
	}
	if !v.canDeliver(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	return d.forward(n)
}

// Undeliverable returns the verdict on a packet whose backend server is no
// longer in the table.
func Undeliverable(flow uint64) Verdict {
	return Verdict{Action: Reset, Reason: LostBackend, Flow: flow}
}

func (d *decision) verdict(a Action, why Reason) Verdict {
	return Verdict{Action: a, Reason: why, Flow: d.flow}
}

func (d *decision) forward(n table.BackendNum) Verdict {
	return Verdict{Action: Forward, Backend: n, Flow: d.flow}
}
