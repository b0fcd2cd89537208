package member

import (
	"cmp"
	"slices"
)

// unknownLag stands for hosts that are too far behind to be told apart.
const unknownLag = 255

// Progress tells how far each host of a zone has come. It is sent with every
// message inside the zone, two bytes for a host.
type Progress struct {
	_        struct{} `cbor:",toarray"`
	List     uint32   // hash of the zone's live hosts, whose order the lags follow
	Revision uint64   // highest revision in force on any of them
	Ack      uint64   // highest beacon seen by any of them
	Lag      []byte   // for each host: revisions behind, beacons behind
}

// Summary is the progress of a zone in a few bytes.
type Summary struct {
	_        struct{} `cbor:",toarray"`
	List     uint32
	Epoch    uint64 // of the beacons
	Revision uint64 // in force on every host but the late ones
	Ack      uint64 // beacon seen by every host but the late ones
	Late     []Late
}

// Late is a host that is behind its zone.
type Late struct {
	_        struct{} `cbor:",toarray"`
	Index    int      // in the order of names
	Revision uint64
	Ack      uint64
}

func (p *Progress) lags() []byte {
	if p == nil {
		return nil
	}
	return p.Lag
}

func (c *Core) progress() *Progress {
	z := c.ownZone()
	p := &Progress{}
	list := z.list()
	if len(list) > maxProgress {
		return nil
	}
	p.List = z.hash
	for _, h := range list {
		p.Revision, p.Ack = max(p.Revision, h.revision), max(p.Ack, h.ack)
	}
	p.Lag = make([]byte, 0, 2*len(list))
	for _, h := range list {
		p.Lag = append(p.Lag, byte(min(unknownLag, p.Revision-h.revision)), byte(min(unknownLag, p.Ack-h.ack)))
	}
	return p
}

// takeProgress learns from another host of the zone. Hosts that disagree on
// the list of hosts learn nothing from each other until they agree.
func (c *Core) takeProgress(m *Message) {
	z, p := c.ownZone(), m.Progress
	if p == nil || !c.fromOwnZone(m) {
		return
	}
	list := z.list()
	if p.List != z.hash || len(p.Lag) != 2*len(list) {
		return
	}
	sameEpoch := m.Beacon != nil && m.Beacon.Epoch == c.beacon.epoch()
	for i, h := range list {
		if h == c.self {
			continue
		}
		if lag := uint64(p.Lag[2*i]); lag < unknownLag && lag <= p.Revision {
			h.revision = max(h.revision, p.Revision-lag)
		}
		if lag := uint64(p.Lag[2*i+1]); sameEpoch && lag < unknownLag && lag <= p.Ack {
			h.ack = max(h.ack, p.Ack-lag)
		}
	}
}

// summary lists the hosts that are furthest behind and gives what all others
// have reached.
func (c *Core) summary() *Summary {
	z := c.ownZone()
	list := z.list()
	s := &Summary{List: z.hash, Epoch: c.beacon.epoch()}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(list[a].revision, list[b].revision), cmp.Compare(list[a].ack, list[b].ack))
	})
	late := order[:min(maxExcepted, len(order)/2)]
	rest := order[len(late):]
	for i, n := range rest {
		if i == 0 {
			s.Revision, s.Ack = list[n].revision, list[n].ack
		}
		s.Revision, s.Ack = min(s.Revision, list[n].revision), min(s.Ack, list[n].ack)
	}
	for _, n := range late {
		if list[n].revision < s.Revision || list[n].ack < s.Ack {
			s.Late = append(s.Late, Late{Index: n, Revision: list[n].revision, Ack: list[n].ack})
		}
	}
	return s
}

// of returns the progress of the host with the given index.
func (s *Summary) of(index int) (revision, ack uint64) {
	for _, l := range s.Late {
		if l.Index == index {
			return l.Revision, l.Ack
		}
	}
	return s.Revision, s.Ack
}
