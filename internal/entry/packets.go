package entry

import (
	"net/netip"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/flow"
	"greengagequay/internal/metrics"
	"greengagequay/internal/replica"
	"greengagequay/internal/route"
)

// maxPacket is the size of the largest IP packet that is carried, in bytes.
const maxPacket = 65535

// Forwarder routes packets of the fabric.
type Forwarder struct {
	fabric    Fabric
	replica   *replica.Replica
	forwarded gometrics.Counter
	malformed gometrics.Counter
	dropped   gometrics.Counter
}

// NewForwarder returns a forwarder between the fabric and backend servers.
func NewForwarder(f Fabric, r *replica.Replica, m *metrics.Registry) *Forwarder {
	return &Forwarder{
		fabric:    f,
		replica:   r,
		forwarded: m.Counter("packets.forwarded"),
		malformed: m.Counter("packets.malformed"),
		dropped:   m.Counter("packets.dropped"),
	}
}

// Serve routes packets until the fabric is closed. Several may run at once.
func (f *Forwarder) Serve() {
	parser := flow.NewParser()
	buf := make([]byte, maxPacket)
	for {
		n, from, err := f.fabric.Read(buf)
		if err != nil {
			return
		}
		f.handle(parser, buf[:n], from)
	}
}

func (f *Forwarder) handle(parser *flow.Parser, data []byte, _ netip.AddrPort) {
	var p flow.Packet
	if err := parser.Parse(data, &p); err != nil {
		f.malformed.Inc(1)
		return
	}
	t := f.replica.Table()
	v := route.Route(t, &p)
	if v.Action != route.Forward {
		f.dropped.Inc(1)
		return
	}
	if err := f.fabric.Send(t.Backends[v.Backend].Packet, data); err != nil {
		f.dropped.Inc(1)
		return
	}
	f.forwarded.Inc(1)
}
