package health

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/codec"
	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// KeyPrefix is the prefix of the keys of items that hold votes.
const KeyPrefix = "h/"

// vote is one host's vote on whether a backend server is good or bad.
type vote struct {
	_    struct{} `cbor:",toarray"`
	Data bool     // the vote is based on the data path, not on probes
	Bad  bool
}

// liveHosts returns the zone of each live entry host by host name.
func liveHosts(hosts []model.Host) map[string]string {
	live := map[string]string{}
	for _, h := range hosts {
		if h.Entry && (h.State == model.Alive || h.State == model.Suspect || h.State == model.Leaving) {
			live[h.Name] = h.Zone
		}
	}
	return live
}

// dueProbe reports whether this host should probe the backend server now. The probers
// are the live hosts of its zone with the highest hashes of the backend server's ID
// and the host's name. If a probe is due, dueProbe schedules the next one.
func (c *Core) dueProbe(now time.Time, b model.Backend, live map[string]string) bool {
	if live[c.Host] == "" || b.Zone != c.Zone || !(b.Request.IsValid() || b.Stream.IsValid()) {
		return false
	}
	own, higher := xxhash.Sum64String(b.ID+"/"+c.Host), 0
	for h, zone := range live {
		if zone == c.Zone && h != c.Host && xxhash.Sum64String(b.ID+"/"+h) > own {
			higher++
		}
	}
	e := c.evidence(b.ID)
	if higher >= probersPerBackend {
		e.probe = signal{} // only the probers' findings count
		return false
	}
	if now.Before(e.nextProbe) {
		return false
	}
	e.nextProbe = now.Add(probeInterval)
	return true
}

// currentVote returns this host's vote on the backend server, or nil if it has none.
// Recent observations of the data path take precedence over probes.
func (e *evidence) currentVote(now time.Time) *vote {
	age := now.Sub(e.data.lastOutcome)
	switch {
	case !e.data.lastOutcome.IsZero() && (age <= observationTTL || e.data.bad && age <= badObservationTTL):
		return &vote{Data: true, Bad: e.data.bad}
	case !e.probe.lastOutcome.IsZero():
		return &vote{Bad: e.probe.bad}
	}
	return nil
}

// updateVote publishes this host's vote if it can change the result: a bad one
// unless enough other hosts vote bad, a good one of the data path if others vote bad
// and are not outnumbered by good votes. It withdraws an earlier vote otherwise.
func (c *Core) updateVote(now time.Time, b model.Backend, live map[string]string) []member.Item {
	e := c.observed[b.ID]
	if e == nil {
		return nil
	}
	v := e.currentVote(now)
	if v != nil && !c.shouldPublish(b.ID, *v, live) {
		v = nil
	}
	switch {
	case v == nil && e.published == nil:
		return nil
	case v == nil:
		return c.withdraw(now, b.ID)
	case e.published != nil && *v == *e.published && now.Sub(e.publishedAt) < voteRefreshInterval:
		return nil
	}
	e.published, e.publishedAt = v, now
	c.storeVote(b.ID, c.Host, v)
	return []member.Item{c.voteItem(now, b.ID, v)}
}

func (c *Core) shouldPublish(id string, v vote, live map[string]string) bool {
	bad, good := 0, 0
	for host, other := range c.votes[id] {
		switch {
		case host == c.Host || live[host] == "":
		case other.Bad:
			bad++
		default:
			good++
		}
	}
	if v.Bad {
		return bad < maxBadVotes || bad <= good
	}
	return v.Data && bad > 0 && good <= bad
}

// withdraw deletes this host's vote and returns the tombstone to publish.
func (c *Core) withdraw(now time.Time, id string) []member.Item {
	e := c.observed[id]
	if e.published == nil {
		return nil
	}
	e.published = nil
	c.storeVote(id, c.Host, nil)
	return []member.Item{c.voteItem(now, id, nil)}
}

func (c *Core) storeVote(id, host string, v *vote) {
	if v == nil {
		delete(c.votes[id], host)
		if len(c.votes[id]) == 0 {
			delete(c.votes, id)
		}
		return
	}
	if c.votes[id] == nil {
		c.votes[id] = map[string]*vote{}
	}
	c.votes[id][host] = v
}

func (c *Core) voteItem(now time.Time, id string, v *vote) member.Item {
	i := member.Item{Key: KeyPrefix + c.Host + "/" + id, Zone: c.Zone, Version: uint64(now.UnixMilli()), Gone: v == nil}
	if v != nil {
		data, err := codec.Marshal(*v)
		if err != nil {
			panic(err) // cannot happen: every vote can be encoded
		}
		i.Body = data
	}
	return i
}

// ReceiveVote stores the vote of another host. If the vote comes from an earlier
// process of this host, it returns the tombstone that withdraws it.
func (c *Core) ReceiveVote(now time.Time, i member.Item) ([]member.Item, error) {
	host, id, ok := strings.Cut(strings.TrimPrefix(i.Key, KeyPrefix), "/")
	if !ok {
		return nil, fault.New(fault.Invalid, "check which host published the vote", "vote key %q names no host and backend server", i.Key)
	}
	if host == c.Host {
		if e := c.observed[id]; i.Gone || (e != nil && e.published != nil) {
			return nil, nil
		}
		return []member.Item{c.voteItem(now, id, nil)}, nil
	}
	if i.Gone {
		c.storeVote(id, host, nil)
		return nil, nil
	}
	var v vote
	if err := codec.Unmarshal(i.Body, &v); err != nil {
		return nil, fault.New(fault.Invalid, "check which host published the vote", "decode vote %q: %w", i.Key, err)
	}
	c.storeVote(id, host, &v)
	return nil, nil
}
