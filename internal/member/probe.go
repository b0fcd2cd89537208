package member

import (
	"slices"
	"time"
)

// probe is a probe under way.
type probe struct {
	target   string
	start    time.Duration
	indirect bool // other hosts were asked
}

// relay is a probe made for another host.
type relay struct {
	to    string // gossip address of the host that asked
	seq   uint64 // its number there
	until time.Duration
}

// probeNext probes one host of the zone. Each round visits every host once in
// a random order, which bounds the time until a dead host is probed.
func (c *Core) probeNext() {
	if c.at < c.next.probe {
		return
	}
	c.next.probe = c.at + probeInterval
	if len(c.order) == 0 {
		for _, h := range c.peers() {
			c.order = append(c.order, h.rec.Name)
		}
		c.rand.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	for len(c.order) > 0 {
		name := c.order[0]
		c.order = c.order[1:]
		if h := c.hosts[name]; h != nil && h.rec.live() {
			c.probe(h)
			return
		}
	}
}

func (c *Core) probe(h *host) {
	c.seq++
	c.probes[c.seq] = &probe{target: h.rec.Name, start: c.at}
	m := &Message{Kind: Ping, Seq: c.seq}
	if h.rec.State == rankSuspect {
		m.Hosts = append(m.Hosts, h.rec) // lets the host refute
	}
	c.send(h.rec.Gossip, m)
}

func (c *Core) acked(seq uint64) {
	if r, ok := c.relays[seq]; ok {
		delete(c.relays, seq)
		c.send(r.to, &Message{Kind: Ack, Seq: r.seq})
		return
	}
	if _, ok := c.probes[seq]; ok {
		delete(c.probes, seq)
		c.health = max(0, c.health-1)
	}
}

// stretch lengthens timeouts on a host whose own probes fail while no other
// host's do, since then it is likely that this host is the slow one.
func (c *Core) stretch(d time.Duration) time.Duration {
	return d * time.Duration(2+min(c.health, 2*maxHealthFactor)) / 2
}

func (c *Core) expireProbes() {
	for _, seq := range sortedKeys(c.probes) {
		p := c.probes[seq]
		age := c.at - p.start
		h := c.hosts[p.target]
		switch {
		case h == nil || !h.rec.live():
			delete(c.probes, seq)
		case age >= c.stretch(probeTimeout):
			delete(c.probes, seq)
			c.accuse(h)
		case age >= c.stretch(directTimeout) && !p.indirect:
			p.indirect = true
			c.askOthers(seq, h)
		}
	}
	for seq, r := range c.relays {
		if c.at > r.until {
			delete(c.relays, seq)
		}
	}
}

func (c *Core) askOthers(seq uint64, target *host) {
	others := slices.DeleteFunc(c.peers(), func(h *host) bool { return h == target })
	for _, h := range c.sample(others, indirect) {
		c.sendRaw(h.rec.Gossip, &Message{Kind: PingReq, Seq: seq, Target: target.rec.Name})
	}
}

func (c *Core) probeFor(from string, m *Message) {
	h := c.hosts[m.Target]
	if h == nil {
		return
	}
	c.seq++
	c.relays[c.seq] = relay{to: from, seq: m.Seq, until: c.at + probeTimeout}
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
