package entry

import (
	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/metrics"
	"greengagequay/internal/route"
)

// packetCounts are the counters of a forwarder.
type packetCounts struct {
	forwarded   gometrics.Counter
	relayed     gometrics.Counter
	malformed   gometrics.Counter
	failed      gometrics.Counter // packets that the socket did not send
	headerBytes gometrics.Counter // bytes of relay headers
	drops       map[route.Reason]gometrics.Counter
	resets      map[route.Reason]gometrics.Counter
}

func newPacketCounts(m *metrics.Registry) packetCounts {
	c := packetCounts{
		forwarded:   m.Counter("packets.forwarded"),
		relayed:     m.Counter("packets.relayed"),
		malformed:   m.Counter("packets.malformed"),
		failed:      m.Counter("packets.failed"),
		headerBytes: m.Counter("packets.header_bytes"),
		drops:       map[route.Reason]gometrics.Counter{},
		resets:      map[route.Reason]gometrics.Counter{},
	}
	for _, r := range route.Reasons() {
		c.drops[r] = m.Counter("packets.dropped." + r.String())
		c.resets[r] = m.Counter("packets.reset." + r.String())
	}
	return c
}

func (c *packetCounts) dropped(r route.Reason) { c.drops[r].Inc(1) }

func (c *packetCounts) reset(r route.Reason) { c.resets[r].Inc(1) }
