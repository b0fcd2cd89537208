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

// Forwarder routes packets that arrive from the fabric and from other entry hosts. A
// record stores the backend server of a flow. Flows are grouped into buckets: the home
// of a bucket is the entry host responsible for it, and its backups are entry hosts
// that hold replicas of the home's records.
type Forwarder struct {
	fabric        Fabric
	relay         Fabric // link between entry hosts
	router        *route.Router
	stallDetector *route.StallDetector
	stallTimeout  func(string) time.Duration
	view          func() *route.View
	now           func() time.Time
	startTime     time.Time
	counts        packetCounts
	open          openFlows
}

// Options configures a forwarder.
type Options struct {
	Fabric Fabric // link to the callers' network and to backend servers
	Relay  Fabric // link between entry hosts
	Router *route.Router
	// StallTimeout returns how long the client of a flow may repeat the same
	// data packet before the flow is reset.
	StallTimeout func(service string) time.Duration
	View         func() *route.View // returns the current table as this host sees it
	Now          func() time.Time
	Metrics      *metrics.Registry
}

func NewForwarder(o Options) *Forwarder {
	return &Forwarder{
		fabric: o.Fabric, relay: o.Relay, router: o.Router, stallDetector: route.NewStallDetector(), stallTimeout: o.StallTimeout,
		view: o.View, now: o.Now, startTime: o.Now(), counts: newPacketCounts(o.Metrics),
	}
}

// Seconds returns the current time for records. It starts at 0 when the
// forwarder is created.
func (f *Forwarder) Seconds() records.Seconds {
	return records.Seconds(f.now().Sub(f.startTime) / time.Second)
}

// Serve routes packets from the fabric until the fabric is closed. Several
// goroutines may call it at once.
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

// ServeRelay routes packets from other entry hosts until the relay is closed.
// Several goroutines may call it at once.
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

// worker holds the state and buffers of one goroutine that routes packets.
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

// act carries out a verdict on a packet. source is the address from which the fabric
// delivered the packet to the first entry host.
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

// forward sends a packet to its backend server. At the last backup it then confirms
// to the home that the backups hold the flow's record.
func (w *worker) forward(view *route.View, v route.Verdict, data []byte, source netip.AddrPort) {
	backend, ok := view.Destination(v.Backend)
	if !ok {
		w.reset(route.Undeliverable(v.Flow), source)
		return
	}
	if w.f.stallDetector.Observe(w.f.now(), w.f.stallTimeout(backend.Service), v.Flow, &w.packet) {
		w.reset(route.Verdict{Action: route.Reset, Reason: route.Stalled, Flow: v.Flow}, source)
		return
	}
	if err := w.f.fabric.Send(backend.Packet, data); err != nil {
		w.f.counts.failed.Inc(1)
		return
	}
	w.f.counts.forwarded.Inc(1)
	w.f.open.observe(v.Backend, &w.packet)
	if v.Confirm {
		v.To = w.header.Home
		w.send(view, v, nil)
	}
}

// send sends the worker's header, followed by the packet if there is one, to the
// entry host v.To.
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

// reset answers the client of a TCP flow with a reset, so that it reconnects. It
// answers no UDP packets, no resets, and no packets from an unknown source.
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
