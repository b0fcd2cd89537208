package entry

import (
	"net/netip"
	"time"

	"greengagequay/internal/flow"
	"greengagequay/internal/metrics"
	"greengagequay/internal/records"
	"greengagequay/internal/route"
)

// maxPacket is the size of the largest IP packet that is carried, in bytes.
const maxPacket = 65535

// Forwarder routes packets of the fabric and of other entry hosts.
type Forwarder struct {
	fabric       Fabric
	relay        Fabric // between entry hosts
	router       *route.Router
	stalls       *route.StallDetector
	stallTimeout func(string) time.Duration
	view         func() *route.View
	now          func() time.Time
	epoch        time.Time
	counts       packetCounts
	open         openFlows
}

// Options of a forwarder.
type Options struct {
	Fabric Fabric // between fabric and backend servers
	Relay  Fabric // between entry hosts
	Router *route.Router
	// StallTimeout returns how long a flow of a service may repeat itself.
	StallTimeout func(service string) time.Duration
	View         func() *route.View // view in force
	Now          func() time.Time
	Metrics      *metrics.Registry
}

// NewForwarder returns a forwarder between the fabric and backend servers.
func NewForwarder(o Options) *Forwarder {
	return &Forwarder{
		fabric: o.Fabric, relay: o.Relay, router: o.Router, stalls: route.NewStallDetector(), stallTimeout: o.StallTimeout,
		view: o.View, now: o.Now, epoch: o.Now(), counts: newPacketCounts(o.Metrics),
	}
}

// Seconds returns the time of records.
func (f *Forwarder) Seconds() records.Seconds {
	return records.Seconds(f.now().Sub(f.epoch) / time.Second)
}

// Serve routes packets of the fabric until it is closed. Several may run at
// once.
func (f *Forwarder) Serve() {
	w := &worker{f: f}
	buf := make([]byte, maxPacket)
	for {
		n, from, err := f.fabric.Read(buf)
		if err != nil {
			return
		}
		w.fromFabric(buf[:n], from)
	}
}

// ServeRelay routes packets of other entry hosts until the relay is closed.
func (f *Forwarder) ServeRelay() {
	w := &worker{f: f}
	buf := make([]byte, maxPacket)
	for {
		n, _, err := f.relay.Read(buf)
		if err != nil {
			return
		}
		w.fromHost(buf[:n])
	}
}

// worker is what one goroutine needs to route packets.
type worker struct {
	f      *Forwarder
	packet flow.Packet
	header route.Header
	out    []byte
}

func (w *worker) fromFabric(data []byte, from netip.AddrPort) {
	f := w.f
	if err := flow.Parse(data, &w.packet); err != nil {
		f.counts.malformed.Inc(1)
		return
	}
	view := f.view()
	w.header = route.Header{Source: from}
	verdict := f.router.Route(f.Seconds(), view, &w.packet, &w.header)
	w.act(view, verdict, data, from)
}

func (w *worker) fromHost(data []byte) {
	f := w.f
	var packet []byte
	var err error
	w.header, packet, err = route.ParseHeader(data)
	if err != nil {
		f.counts.malformed.Inc(1)
		return
	}
	if w.header.Stage == route.Confirm {
		f.router.Confirmed(f.Seconds(), w.header)
		return
	}
	if err := flow.Parse(packet, &w.packet); err != nil {
		f.counts.malformed.Inc(1)
		return
	}
	view := f.view()
	source := w.header.Source
	w.act(view, f.router.Relayed(f.Seconds(), view, &w.packet, &w.header), packet, source)
}

// act does what the verdict says.
func (w *worker) act(view *route.View, v route.Verdict, data []byte, source netip.AddrPort) {
	switch v.Action {
	case route.Forward:
		w.forward(view, v, data, source)
	case route.Relay:
		w.f.counts.relayed.Inc(1)
		w.send(view, v, data)
	case route.Reset:
		w.reset(v, source)
	default:
		w.f.counts.dropped(v.Reason)
	}
}

func (w *worker) forward(view *route.View, v route.Verdict, data []byte, source netip.AddrPort) {
	backend, ok := view.Destination(v.Backend)
	if !ok {
		w.reset(route.Undeliverable(v.Flow), source)
		return
	}
	if w.f.stalls.Observe(w.f.now(), w.f.stallTimeout(backend.Service), v.Flow, &w.packet) {
		w.reset(route.Verdict{Action: route.Reset, Reason: route.Stalled, Flow: v.Flow}, source)
		return
	}
	if err := w.f.fabric.Send(backend.Packet, data); err != nil {
		w.f.counts.failed.Inc(1)
		return
	}
	w.f.counts.forwarded.Inc(1)
	w.f.open.note(v.Backend, &w.packet)
	if v.Confirm {
		v.To = w.header.Home
		w.send(view, v, nil)
	}
}

// send sends a header and the packet to another entry host.
func (w *worker) send(view *route.View, v route.Verdict, packet []byte) {
	host, ok := view.Table.Hosts[v.To]
	if !ok {
		w.f.counts.dropped(route.NoHome)
		return
	}
	w.out = append(w.header.Append(w.out[:0]), packet...)
	if err := w.f.relay.Send(host.Relay, w.out); err != nil {
		w.f.counts.failed.Inc(1)
	}
	w.f.counts.headerBytes.Inc(route.HeaderBytes)
}

// reset answers the client of a TCP flow with a reset, so that it reconnects.
func (w *worker) reset(v route.Verdict, source netip.AddrPort) {
	w.f.counts.reset(v.Reason)
	if !w.packet.TCP() || w.packet.RST || !source.IsValid() {
		return
	}
	answer, err := flow.ResetFor(&w.packet)
	if err != nil {
		return
	}
	_ = w.f.fabric.Send(source, answer)
}
