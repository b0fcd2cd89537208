package route

import (
	"greengagequay/internal/flow"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// Relayed decides on a packet that another entry host relayed with the header
// h. If the packet is to be relayed again or a record is to be confirmed,
// Relayed changes h to the header to send.
func (r *Router) Relayed(now records.Seconds, v *View, p *flow.Packet, h *Header) Verdict {
	svc := v.service(p)
	if svc == nil {
		return Verdict{Action: Drop, Reason: UnknownService}
	}
	hash := p.Hash(v.Table.Seed)
	index := hash & svc.Mask
	d := &decision{svc: svc, bucket: &svc.Buckets[index], index: index, flow: hash, packet: p, header: h}
	if h.Stage == ToBackup {
		return r.decideAsBackup(now, v, d)
	}
	if v.isCutOff() {
		return r.decideCutOff(now, v, d)
	}
	return r.relayedToHome(now, v, d)
}

// relayedToHome decides on a packet that was relayed with the stage ToHome.
func (r *Router) relayedToHome(now records.Seconds, v *View, d *decision) Verdict {
	older := v.Table.Revision < d.header.Revision
	if !d.bucket.Moving() && older && d.bucket.Unknown() != d.header.Backend {
		// The sender's table has a move that this host has not received yet.
		return d.verdict(Drop, StaleTable)
	}
	return r.decideByPhase(now, v, d)
}

// relayToHome relays a packet to the home of its bucket.
func (v *View) relayToHome(d *decision, home table.HostNum) Verdict {
	if _, ok := v.Table.Hosts[home]; !ok {
		return d.verdict(Drop, NoHome)
	}
	// Hosts with different tables could relay a packet in a loop.
	if d.header.Hops >= maxHops {
		return d.verdict(Drop, TooManyHops)
	}
	*d.header = Header{
		Stage: ToHome, Hops: d.header.Hops + 1, Backend: d.bucket.Unknown(),
		Revision: max(v.Table.Revision, d.header.Revision), Flow: d.flow, Source: d.header.Source,
	}
	return Verdict{Action: Relay, To: home, Flow: d.flow}
}

// decideAsHome decides on a packet when this host is the home of its bucket.
func (r *Router) decideAsHome(now records.Seconds, v *View, d *decision) Verdict {
	n, flags, ok := r.Records.Lookup(d.flow, now)
	if ok && !v.canDeliver(n, d.svc) {
		r.Records.Delete(d.flow)
		if !d.packet.Opens() {
			return d.verdict(Reset, LostBackend)
		}
		ok = false
	}
	if !ok || d.reopens(flags) {
		return r.placeFlow(now, v, d, ok)
	}
	if d.packet.FIN || d.packet.RST {
		r.Records.Mark(d.flow, records.Closing)
	}
	if flags&records.Confirmed != 0 && !d.packet.SYN {
		return d.forward(n)
	}
	return r.relayThroughBackups(now, v, d, n, flags&records.Confirmed != 0)
}

// reopens reports whether the packet opens a flow again after the client ended
// it.
func (d *decision) reopens(flags records.Flag) bool {
	return d.packet.SYN && d.packet.Opens() && flags&records.Closing != 0
}

// placeFlow chooses the backend server of a flow that has no record or is opened
// again, and records it.
func (r *Router) placeFlow(now records.Seconds, v *View, d *decision, reopened bool) Verdict {
	n := d.bucket.Unknown()
	if d.packet.Opens() {
		n = d.bucket.Opening()
	}
	if d.header.Stage == ToBackup && v.canDeliver(d.header.Backend, d.svc) {
		n = d.header.Backend // the backend server that the former home proposed
	}
	if n == 0 {
		return d.verdict(Reset, NoBackend)
	}
	if !v.canDeliver(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	// The home records the flow before the backup confirms, so that the record
	// survives if the backup or the confirmation is lost.
	if !r.Records.Put(records.Record{Flow: d.flow, Backend: n}, 0, now) {
		// When the store is full, a new flow goes to the candidate for flows
		// without a record, so it needs none.
		return v.forwardByTable(d)
	}
	return r.relayThroughBackups(now, v, d, n, reopened)
}

// relayThroughBackups sends a packet to its backend server through the backups,
// which record the flow. If known is true, the backups replace their own record
// of the flow by n. If there are no backups, the record is confirmed immediately.
func (r *Router) relayThroughBackups(now records.Seconds, v *View, d *decision, n table.BackendNum, known bool) Verdict {
	first, second := v.backups(d.bucket)
	if first == 0 {
		if !r.Records.Put(records.Record{Flow: d.flow, Backend: n}, records.Confirmed, now) && n != d.bucket.Unknown() {
			return d.verdict(Drop, Full)
		}
		return d.forward(n)
	}
	*d.header = Header{
		Stage: ToBackup, Known: known, Home: v.self, Next: second, Backend: n,
		Revision: v.Table.Revision, Flow: d.flow, Source: d.header.Source,
	}
	return Verdict{Action: Relay, To: first, Flow: d.flow}
}

// backups returns the usable backups of a bucket, or 0 for each that is missing.
func (v *View) backups(b *table.Bucket) (first, second table.HostNum) {
	for _, n := range b.Backups {
		if _, ok := v.Table.Hosts[n]; !ok || n == v.self {
			continue
		}
		if first == 0 {
			first = n
		} else if n != first {
			second = n
		}
	}
	return first, second
}

// decideAsBackup records the flow of a packet for the home, and relays the packet to
// the next backup or forwards it to the backend server.
func (r *Router) decideAsBackup(now records.Seconds, v *View, d *decision) Verdict {
	h := d.header
	if v.Table.Revision > h.Revision && d.bucket.Home != h.Home {
		// The host h.Home is no longer the home. Only the current home may place
		// flows.
		return r.decideByPhase(now, v, d)
	}
	n, _, ok := r.Records.Lookup(d.flow, now)
	if !ok || h.Known || !v.canDeliver(n, d.svc) {
		n = h.Backend
	}
	if !v.canDeliver(n, d.svc) {
		return d.verdict(Drop, StaleTable)
	}
	if !r.Records.Put(records.Record{Flow: d.flow, Backend: n}, 0, now) && n != d.bucket.Unknown() {
		return d.verdict(Drop, Full)
	}
	h.Backend, h.Flow = n, d.flow
	if _, known := v.Table.Hosts[h.Next]; known && h.Next != v.self {
		next := h.Next
		h.Next, h.Known = 0, h.Known || ok
		return Verdict{Action: Relay, To: next, Flow: d.flow}
	}
	*h = Header{Stage: Confirm, Home: h.Home, Backend: n, Revision: h.Revision, Flow: d.flow}
	return Verdict{Action: Forward, Backend: n, Flow: d.flow, Confirm: true}
}

// Confirmed stores a record that the backups hold, and marks it as confirmed.
func (r *Router) Confirmed(now records.Seconds, h Header) {
	r.Records.Put(records.Record{Flow: h.Flow, Backend: h.Backend}, records.Confirmed, now)
}
