package member

import (
	"cmp"
	"slices"
)

// unknownLag is the lag sent for a host that is at least this far behind.
// Receivers then do not learn its progress.
const unknownLag = 255

// Progress holds the revision in force and the last heartbeat received on each
// host of a zone, in two bytes per host. Core.send adds it to messages.
type Progress struct {
	_        struct{} `cbor:",toarray"`
	List     uint32   // hash of the zone's live hosts, whose order the lags follow
	Revision uint64   // highest revision in force on any of the zone's live hosts
	Ack      uint64   // highest heartbeat received by any of the zone's live hosts
	Lag      []byte   // for each host: its lag behind Revision, then its lag behind Ack
}

// Summary is the progress of a zone in a few bytes. A zone reports it to the
// leading control host.
type Summary struct {
	_        struct{} `cbor:",toarray"`
	List     uint32
	Epoch    uint64 // epoch of the heartbeats
	Revision uint64 // revision in force on every host but the late ones
	Ack      uint64 // heartbeat received by every host but the late ones
	Late     []HostProgress
}

// HostProgress is the progress of a host that is behind the rest of its zone.
type HostProgress struct {
	_        struct{} `cbor:",toarray"`
	Index    int      // index in the zone's list of live hosts
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
	list := z.liveSorted()
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

// mergeProgress merges the progress that another host of the zone sent. It ignores
// the progress while the two hosts have different lists of the live hosts.
func (c *Core) mergeProgress(m *Message) {
	z, p := c.ownZone(), m.Progress
	if p == nil || !c.fromOwnZone(m) {
		return
	}
	list := z.liveSorted()
	if p.List != z.hash || len(p.Lag) != 2*len(list) {
		return
	}
	sameEpoch := m.Heartbeat != nil && m.Heartbeat.Epoch == c.quorum.epoch()
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

// summary returns the summary of this zone: up to maxLate hosts that are
// furthest behind, and the progress that all others have reached.
func (c *Core) summary() *Summary {
	z := c.ownZone()
	list := z.liveSorted()
	s := &Summary{List: z.hash, Epoch: c.quorum.epoch()}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(list[a].revision, list[b].revision), cmp.Compare(list[a].ack, list[b].ack))
	})
	late := order[:min(maxLate, len(order)/2)]
	others := order[len(late):]
	for i, n := range others {
		if i == 0 {
			s.Revision, s.Ack = list[n].revision, list[n].ack
		}
		s.Revision, s.Ack = min(s.Revision, list[n].revision), min(s.Ack, list[n].ack)
	}
	for _, n := range late {
		if list[n].revision < s.Revision || list[n].ack < s.Ack {
			s.Late = append(s.Late, HostProgress{Index: n, Revision: list[n].revision, Ack: list[n].ack})
		}
	}
	return s
}

// progressOf returns the progress of the host with the given index in the zone's list.
func (s *Summary) progressOf(index int) (revision, ack uint64) {
	for _, l := range s.Late {
		if l.Index == index {
			return l.Revision, l.Ack
		}
	}
	return s.Revision, s.Ack
}
