package route_test

import (
	"slices"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// simControl is a plain placement that keeps to the protocol of moves.
type simControl struct {
	s        *sim
	planner  *simPlanner // nil places by the rules below
	revision uint64
	buckets  map[string][]table.Bucket
	changed  map[bucketKey]time.Duration // when a bucket changed last
	backends map[table.BackendNum]table.Backend
	hosts    map[table.HostNum]table.Host
	dirty    bool
	nextNum  uint32
	apart    time.Duration // when a zone was last cut off
}

// prepareHold is longer than the first pause before an opening packet is sent
// again.
const prepareHold = openResend + openResend/5

// cutHold is the time after a cut in which no bucket enters Settle.
const cutHold = 10 * time.Second

type bucketKey struct {
	service string
	index   int
}

func newSimControl(s *sim) *simControl {
	c := &simControl{s: s, revision: 1, buckets: map[string][]table.Bucket{}, changed: map[bucketKey]time.Duration{}}
	for _, svc := range simServices {
		c.buckets[svc.name] = make([]table.Bucket, simBuckets)
	}
	return c
}

func (c *simControl) nextBackend() table.BackendNum { c.nextNum++; return table.BackendNum(c.nextNum) }
func (c *simControl) nextHost() table.HostNum       { c.nextNum++; return table.HostNum(c.nextNum) }

// lost reports whether the controller has given up a host.
func (c *simControl) lost(h *simHost) bool {
	return !h.up && c.s.now > h.lostAt+lossAfter || c.unreachable(h.Zone)
}

func (c *simControl) tick() {
	s := c.s
	defer s.after(250*time.Millisecond, c.tick)
	if c.planner != nil {
		c.planner.tick(c)
		return
	}
	c.members()
	if s.cut != "" {
		c.apart = s.now
	}
	status := map[bucketKey]records.BucketStatus{}
	for _, h := range s.hosts {
		if !h.up || c.lost(h) || h.table == nil || s.cut == h.Zone {
			continue
		}
		h.seen = h.table.Revision
		for _, st := range h.keeper.Status(s.time()) {
			if st.Kept && c.buckets[st.Service][st.Bucket].Phase == table.Stable {
				c.keep(bucketKey{st.Service, st.Bucket}, st.Home)
			}
			if st.Home == c.buckets[st.Service][st.Bucket].Home {
				status[bucketKey{st.Service, st.Bucket}] = st
			}
		}
	}
	for _, svc := range simServices {
		c.assign(svc.name)
		for i := range c.buckets[svc.name] {
			c.advance(bucketKey{svc.name, i}, status[bucketKey{svc.name, i}])
		}
	}
	c.publish()
}

func (c *simControl) members() {
	hosts, backends := map[table.HostNum]table.Host{}, map[table.BackendNum]table.Backend{}
	for _, h := range c.s.hosts {
		if !c.lost(h) {
			hosts[h.Num] = h.Host
		}
	}
	for _, b := range c.s.backends {
		if b.dead && b.drained > 0 && c.s.now > b.drained+lossAfter {
			b.State = model.Gone
		}
		backends[b.Num] = b.Backend
	}
	c.dirty = c.dirty || !equalMaps(hosts, c.hosts) || !equalMaps(backends, c.backends)
	c.hosts, c.backends = hosts, backends
}

func equalMaps[K, V comparable](a, b map[K]V) bool {
	for k, v := range a {
		if w, ok := b[k]; !ok || v != w {
			return false
		}
	}
	return len(a) == len(b)
}

// assign starts moves away from backend servers that are not ready, and to
// those that have less than their share.
func (c *simControl) assign(service string) {
	var ready []table.BackendNum
	for n, b := range c.backends {
		if b.Service == service && b.State == model.Ready && !c.unreachable(b.Zone) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return
	}
	slices.Sort(ready)
	have := map[table.BackendNum]int{}
	for _, b := range c.buckets[service] {
		have[aim(&b)]++
	}
	quota := (simBuckets + len(ready) - 1) / len(ready)
	for i := range c.buckets[service] {
		b := &c.buckets[service][i]
		owner := aim(b)
		fit := slices.Contains(ready, owner)
		least := slices.MinFunc(ready, func(x, y table.BackendNum) int { return have[x] - have[y] })
		if fit && (have[owner] <= quota || have[least] >= simBuckets/len(ready)) {
			continue
		}
		if c.start(bucketKey{service, i}, *b, least) {
			have[owner]--
			have[least]++
		}
	}
}

// unreachable reports whether the controller has given up a zone for now.
func (c *simControl) unreachable(zone string) bool {
	return c.s.cut == zone && c.s.now > c.s.cutAt+lossAfter
}

// start begins a move of a bucket to another backend server, or gives a move
// that has begun another aim.
func (c *simControl) start(k bucketKey, b table.Bucket, to table.BackendNum) bool {
	lost := c.backends[b.Opening()].State != model.Ready && c.backends[b.Opening()].State != model.Draining
	switch {
	case b.Phase == table.Stable && lost:
		c.set(k, table.StableAt(to))
		return true
	case b.Phase == table.Stable:
		b = table.Bucket{Candidates: [4]table.BackendNum{b.Opening(), to}, Phase: table.Prepare}
		c.house(&b)
	case b.Phase == table.Prepare:
		b.Candidates[1] = to
	case b.Phase == table.Move:
		b.Candidates = [4]table.BackendNum{b.Unknown(), to}
	case b.Phase == table.Settle:
		b.Candidates = [4]table.BackendNum{b.Opening(), to}
		b.Phase, b.Target, b.Fallback = table.Move, 1, 0
	}
	if b.Home != 0 {
		c.set(k, b)
	}
	return b.Home != 0
}

// aim returns the backend server that a bucket has or moves to.
func aim(b *table.Bucket) table.BackendNum {
	if b.Phase == table.Prepare {
		return b.Candidates[1]
	}
	return b.Opening()
}

// keep makes a host the home of a bucket of which it has records.
func (c *simControl) keep(k bucketKey, home table.HostNum) {
	b := table.Bucket{Candidates: c.buckets[k.service][k.index].Candidates, Phase: table.Settle, Home: home}
	c.house(&b)
	c.set(k, b)
}

// house chooses a home and a backup in another zone.
func (c *simControl) house(b *table.Bucket) {
	var fit []*simHost
	for _, h := range c.s.hosts {
		if !c.lost(h) && !h.leaving && h.seen > 0 && h.Num != b.Home {
			fit = append(fit, h)
		}
	}
	if len(fit) < 2 {
		return
	}
	c.s.rand.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	if b.Home == 0 {
		b.Home, fit = fit[0].Num, fit[1:]
	}
	b.Backups = [2]table.HostNum{fit[0].Num}
}

// advance takes a moving bucket to its next phase.
func (c *simControl) advance(k bucketKey, st records.BucketStatus) {
	b := c.buckets[k.service][k.index]
	if !b.Moving() {
		return
	}
	if c.rehouse(k, b) {
		return
	}
	if !c.inForce(b.Since) {
		return
	}
	switch {
	case b.Phase == table.Prepare && c.s.now > c.changed[k]+prepareHold:
		b.Phase, b.Target = table.Move, 1
		c.set(k, b)
	case b.Phase == table.Move && c.s.now > c.apart+cutHold && st.Done && st.Since == b.Since && len(st.Copies) > 0:
		b.Phase, b.Fallback = table.Settle, b.Target
		c.set(k, b)
	case b.Phase == table.Settle && st.Done && st.Since == b.Since:
		c.set(k, table.StableAt(b.Opening()))
	}
}

// rehouse replaces a home or a backup that is lost or leaves.
func (c *simControl) rehouse(k bucketKey, b table.Bucket) bool {
	gone := func(n table.HostNum) bool {
		h := c.s.host(n)
		return c.lost(h) || h.leaving || c.hosts[n].Incarnation != h.Incarnation
	}
	home, backup := gone(b.Home), gone(b.Backups[0])
	switch {
	case home && backup:
		b.Home = 0
	case home:
		b.Home = b.Backups[0]
	case !backup:
		return false
	}
	c.house(&b)
	c.set(k, b)
	return true
}

// inForce reports whether no host that may forward has an older table.
func (c *simControl) inForce(revision uint64) bool {
	for _, h := range c.s.hosts {
		if !c.lost(h) && h.seen < revision {
			return false
		}
	}
	return true
}

func (c *simControl) set(k bucketKey, b table.Bucket) {
	b.Since = c.revision + 1
	c.changed[k] = c.s.now
	c.buckets[k.service][k.index] = b
	c.dirty = true
}

// publish sends the table to all hosts, early to some and late to others. A
// host that starts asks for it at once.
func (c *simControl) publish() {
	s := c.s
	if c.dirty {
		c.revision++
		c.dirty = false
	}
	var t *table.Table
	for _, h := range s.hosts {
		if !h.up || c.lost(h) || s.cut == h.Zone || h.table != nil && h.table.Revision == c.revision {
			continue
		}
		if t == nil {
			t = c.table()
		}
		late := time.Duration(s.rand.Int64N(int64(s.late)))
		if h.table == nil {
			late = 0
		}
		incarnation := h.Incarnation
		s.after(hop+late, func() {
			if h.up && h.Incarnation == incarnation && !c.lost(h) {
				s.adopt(h, t)
			}
		})
	}
}

func (c *simControl) table() *table.Table {
	if c.planner != nil {
		return c.planner.state.Table()
	}
	t := &table.Table{
		Revision: c.revision, Seed: 7, ByAddress: map[table.Endpoint]*table.Service{},
		ByName: map[string]*table.Service{}, Backends: c.backends, Hosts: c.hosts,
	}
	for _, svc := range simServices {
		v := &table.Service{Name: svc.name, Mask: simBuckets - 1, Buckets: slices.Clone(c.buckets[svc.name])}
		t.ByName[svc.name] = v
		t.ByAddress[table.Endpoint{Addr: svc.address.Addr(), Port: svc.address.Port(), Proto: 6}] = v
	}
	return t
}
