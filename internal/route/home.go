package route

import (
	"greengagequay/internal/flow"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// Relayed decides on a packet that another entry host relayed with the header
// h. For a packet to relay once more, or a record to confirm, it changes h.
func (r *Router) Relayed(now records.Seconds, v *View, p *flow.Packet, h *Header) Verdict {
	svc := v.service(p)
	if svc == nil {
		return Verdict{Action: Drop, Reason: UnknownService}
	}
	hash := p.Hash(v.Table.Seed)
	index := hash & svc.Mask
	d := &decision{svc: svc, bucket: &svc.Buckets[index], index: index, flow: hash, packet: p, header: h}
	if h.Stage == ToBackup {
		return r.backup(now, v, d)
	}
	if v.isCut() {
		return r.cutOff(now, v, d)
	}
	return r.arrived(now, v, d)
}

// arrived decides on a packet that was relayed towards the home.
func (r *Router) arrived(now records.Seconds, v *View, d *decision) Verdict {
	older := v.Table.Revision < d.header.Revision
	if !d.bucket.Moving() && older && d.bucket.Unknown() != d.header.Backend {
		// The sender knows of a move that this host does not know of yet.
		return d.verdict(Drop, StaleTable)
	}
	return r.byBucket(now, v, d)
}

// toHome relays a packet to the home of its bucket.
func (v *View) toHome(d *decision, home table.HostNum) Verdict {
	if _, ok := v.Table.Hosts[home]; !ok {
		return d.verdict(Drop, NoHome)
	}
	// The bound on hops keeps hosts with different tables from relaying a
	// packet in circles.
	if d.header.Hops >= maxHops {
		return d.verdict(Drop, TooManyHops)
	}
	*d.header = Header{
		Stage: ToHome, Hops: d.header.Hops + 1, Backend: d.bucket.Unknown(),
		Revision: max(v.Table.Revision, d.header.Revision), Flow: d.flow, Source: d.header.Source,
	}
	return Verdict{Action: Relay, To: home, Flow: d.flow}
}

// home decides on a packet as the home of its bucket.
func (r *Router) home(now records.Seconds, v *View, d *decision) Verdict {
	n, flags, ok := r.Records.Lookup(d.flow, now)
	if ok && !v.delivers(n, d.svc) {
		r.Records.Delete(d.flow)
		if !d.packet.Opens() {
			return d.verdict(Reset, LostBackend)
		}
		ok = false
	}
	if !ok || d.reopens(flags) {
		return r.place(now, v, d, ok)
	}
	if d.packet.FIN || d.packet.RST {
		r.Records.Mark(d.flow, records.Closing)
	}
	if flags&records.Confirmed != 0 && !d.packet.SYN {
		return d.forward(n)
	}
	return r.throughBackups(now, v, d, n, flags&records.Confirmed != 0)
}

// reopens reports whether the packet opens a flow anew that had ended.
func (d *decision) reopens(flags records.Flag) bool {
	return d.packet.SYN && d.packet.Opens() && flags&records.Closing != 0
}

// place chooses the backend server of a flow without a record, or of one that
// is opened again.
func (r *Router) place(now records.Seconds, v *View, d *decision, again bool) Verdict {
	n := d.bucket.Unknown()
	if d.packet.Opens() {
		n = d.bucket.Opening()
	}
	if d.header.Stage == ToBackup && v.delivers(d.header.Backend, d.svc) {
		n = d.header.Backend // proposed by the former home
	}
	if n == 0 {
		return d.verdict(Reset, NoBackend)
	}
	if !v.delivers(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	// The home records the flow before the backup confirms, so that neither
	// the loss of the backup nor of the confirmation loses the record.
	if !r.Records.Put(records.Record{Flow: d.flow, Backend: n}, 0, now) {
		// A full store places new flows where unknown flows belong, which
		// needs no record.
		return v.byTable(d)
	}
	return r.throughBackups(now, v, d, n, again)
}

// throughBackups sends a packet to its backend server by way of the backups,
// which record the flow. Without backups the record counts at once.
func (r *Router) throughBackups(now records.Seconds, v *View, d *decision, n table.BackendNum, known bool) Verdict {
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

// backups returns the backups of a bucket that can be used, 0 where none.
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

// backup records the flow of a packet for the home and passes the packet on.
func (r *Router) backup(now records.Seconds, v *View, d *decision) Verdict {
	h := d.header
	if v.Table.Revision > h.Revision && d.bucket.Home != h.Home {
		// The sender is no longer the home. Only the present home may place.
		return r.byBucket(now, v, d)
	}
	n, _, ok := r.Records.Lookup(d.flow, now)
	if !ok || h.Known || !v.delivers(n, d.svc) {
		n = h.Backend
	}
	if !v.delivers(n, d.svc) {
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

// Confirmed notes that the backups hold a record.
func (r *Router) Confirmed(now records.Seconds, h Header) {
	r.Records.Put(records.Record{Flow: h.Flow, Backend: h.Backend}, records.Confirmed, now)
}
