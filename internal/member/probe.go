package member

import (
	"slices"
	"time"
)

// probe is an outstanding probe.
type probe struct {
	target   string
	start    time.Duration
	indirect bool // other hosts were asked to probe the target too
}

// relayedProbe is a probe made for another host.
type relayedProbe struct {
	to    string // gossip address of the host that asked
	seq   uint64 // number of the probe at the host that asked
	until time.Duration
}

// probeNext probes one host of the zone. Each round visits every host once in
// a random order, which bounds the time until a dead host is probed.
func (c *Core) probeNext() {
	if c.runTime < c.next.probe {
		return
	}
	c.next.probe = c.runTime + probeInterval
	if len(c.probeOrder) == 0 {
		for _, h := range c.peers() {
			c.probeOrder = append(c.probeOrder, h.rec.Name)
		}
		c.rand.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	for len(c.probeOrder) > 0 {
		name := c.probeOrder[0]
		c.probeOrder = c.probeOrder[1:]
		if h := c.hosts[name]; h != nil && h.rec.live() {
			c.probe(h)
			return
		}
	}
}

func (c *Core) probe(h *host) {
	c.seq++
	c.probes[c.seq] = &probe{target: h.rec.Name, start: c.runTime}
	m := &Message{Kind: Ping, Seq: c.seq}
	if h.rec.State == rankSuspect {
		m.Hosts = append(m.Hosts, h.rec) // allows the host to refute the suspicion
	}
	c.send(h.rec.Gossip, m)
}

func (c *Core) handleAck(seq uint64) {
	if r, ok := c.relayedProbes[seq]; ok {
		delete(c.relayedProbes, seq)
		c.send(r.to, &Message{Kind: Ack, Seq: r.seq})
		return
	}
	if _, ok := c.probes[seq]; ok {
		delete(c.probes, seq)
		c.healthScore = max(0, c.healthScore-1)
	}
}

// scaleTimeout lengthens timeouts on a host whose own probes fail while no other
// host's do, since this host is then likely to be the slow one.
func (c *Core) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(2+min(c.healthScore, 2*maxTimeoutGrowth)) / 2
}

func (c *Core) expireProbes() {
	for _, seq := range sortedKeys(c.probes) {
		p := c.probes[seq]
		age := c.runTime - p.start
		h := c.hosts[p.target]
		switch {
		case h == nil || !h.rec.live():
			delete(c.probes, seq)
		case age >= c.scaleTimeout(probeTimeout):
			delete(c.probes, seq)
			c.recordFailedProbe(h)
		case age >= c.scaleTimeout(directTimeout) && !p.indirect:
			p.indirect = true
			c.requestIndirectProbes(seq, h)
		}
	}
	for seq, r := range c.relayedProbes {
		if c.runTime > r.until {
			delete(c.relayedProbes, seq)
		}
	}
}

func (c *Core) requestIndirectProbes(seq uint64, target *host) {
	others := slices.DeleteFunc(c.peers(), func(h *host) bool { return h == target })
	for _, h := range c.sample(others, indirectProbes) {
		c.sendRaw(h.rec.Gossip, &Message{Kind: PingReq, Seq: seq, Target: target.rec.Name})
	}
}

func (c *Core) probeOnBehalf(from string, m *Message) {
	h := c.hosts[m.Target]
	if h == nil {
		return
	}
	c.seq++
	c.relayedProbes[c.seq] = relayedProbe{to: from, seq: m.Seq, until: c.runTime + probeTimeout}
	c.send(h.rec.Gossip, &Message{Kind: Ping, Seq: c.seq})
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
