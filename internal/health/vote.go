package health

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// KeyPrefix starts the keys of the items that hold votes.
const KeyPrefix = "h/"

// vote is one host's finding about a backend server.
type vote struct {
	_    struct{} `cbor:",toarray"`
	Data bool     // from the data path, not a probe
	Bad  bool
}

// liveHosts returns the zones of the live entry hosts by their names.
func liveHosts(hosts []model.Host) map[string]string {
	live := map[string]string{}
	for _, h := range hosts {
		if h.Entry && (h.State == model.Alive || h.State == model.Suspect || h.State == model.Leaving) {
			live[h.Name] = h.Zone
		}
	}
	return live
}

// dueProbe reports whether this host should probe the backend server now. The
// probers are the first hosts of its zone by a hash of both names.
func (c *Core) dueProbe(now time.Time, b model.Backend, live map[string]string) bool {
	if live[c.Host] == "" || b.Zone != c.Zone || !(b.Request.IsValid() || b.Stream.IsValid()) {
		return false
	}
	mine, better := xxhash.Sum64String(b.ID+"/"+c.Host), 0
	for h, zone := range live {
		if zone == c.Zone && h != c.Host && xxhash.Sum64String(b.ID+"/"+h) > mine {
			better++
		}
	}
	e := c.evidence(b.ID)
	if better >= probers {
		e.probe = signal{} // the probers' word counts
		return false
	}
	if now.Before(e.nextProbe) {
		return false
	}
	e.nextProbe = now.Add(probeInterval)
	return true
}

// opinion returns what this host finds, or nil if it finds nothing. What the
// data path saw of late goes before probes.
func (e *evidence) opinion(now time.Time) *vote {
	age := now.Sub(e.data.last)
	switch {
	case !e.data.last.IsZero() && (age <= usedWithin || e.data.bad && age <= badWithin):
		return &vote{Data: true, Bad: e.data.bad}
	case !e.probe.last.IsZero():
		return &vote{Bad: e.probe.bad}
	}
	return nil
}

// vote publishes this host's opinion where it matters: a bad one until enough
// hosts have said so, a good one of the data path where others say bad.
func (c *Core) vote(now time.Time, b model.Backend, live map[string]string) []member.Item {
	e := c.seen[b.ID]
	if e == nil {
		return nil
	}
	v := e.opinion(now)
	if v != nil && !c.worthVoting(b.ID, *v, live) {
		v = nil
	}
	switch {
	case v == nil && e.published == nil:
		return nil
	case v == nil:
		return c.withdraw(now, b.ID)
	case e.published != nil && *v == *e.published && now.Sub(e.at) < voteInterval:
		return nil
	}
	e.published, e.at = v, now
	c.put(b.ID, c.Host, v)
	return []member.Item{c.item(now, b.ID, v)}
}

func (c *Core) worthVoting(id string, v vote, live map[string]string) bool {
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
		return bad < votesWorthMore || bad <= good
	}
	return v.Data && bad > 0 && good <= bad
}

// withdraw takes back this host's vote.
func (c *Core) withdraw(now time.Time, id string) []member.Item {
	e := c.seen[id]
	if e.published == nil {
		return nil
	}
	e.published = nil
	c.put(id, c.Host, nil)
	return []member.Item{c.item(now, id, nil)}
}

func (c *Core) put(id, host string, v *vote) {
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

func (c *Core) item(now time.Time, id string, v *vote) member.Item {
	i := member.Item{Key: KeyPrefix + c.Host + "/" + id, Zone: c.Zone, Version: uint64(now.UnixMilli()), Gone: v == nil}
	if v != nil {
		data, err := cbor.Marshal(*v)
		if err != nil {
			panic(err) // the type is fixed
		}
		i.Body = data
	}
	return i
}

// Take stores the vote of another host. A vote that is left over from an
// earlier process of this host is taken back.
func (c *Core) Take(now time.Time, i member.Item) ([]member.Item, error) {
	host, id, ok := strings.Cut(strings.TrimPrefix(i.Key, KeyPrefix), "/")
	if !ok {
		return nil, fault.New(fault.Invalid, "check which host spreads it", "item %q holds no vote", i.Key)
	}
	if host == c.Host {
		if e := c.seen[id]; i.Gone || (e != nil && e.published != nil) {
			return nil, nil
		}
		return []member.Item{c.item(now, id, nil)}, nil
	}
	if i.Gone {
		c.put(id, host, nil)
		return nil, nil
	}
	var v vote
	if err := cbor.Unmarshal(i.Body, &v); err != nil {
		return nil, fault.New(fault.Invalid, "check which host spreads it", "decode vote %q: %w", i.Key, err)
	}
	c.put(id, host, &v)
	return nil, nil
}
