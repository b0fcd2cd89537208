package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/pace"
	"greengagequay/internal/steering"
)

// sharePool is a control host's pool of shares with its position in the catalog. The
// holder of ControlHost.mu uses it.
type sharePool struct {
	pool     *pace.Pool
	revision uint64 // revision of the catalog that the pool has
	tickedAt time.Duration
	// forwarded is the latest batch of samples for the other control hosts of the zone. One
	// that a follower is too slow for is lost to it.
	forwarded []pace.ZoneSamples
	batches   uint64 // number of batches
}

// forward prepares the next batch of samples for the other control hosts of the zone. It
// reports whether there is one. Without a quorum entry hosts report to all control hosts,
// so none is needed. The caller holds mu.
func (h *ControlHost) forward() bool {
	batch := h.shares.pool.TakeForwarded()
	if len(batch) == 0 || !h.current {
		return false
	}
	h.shares.forwarded = batch
	h.shares.batches++
	return true
}

// receiveForwarded adds the samples that another control host forwarded. The caller holds
// mu.
func (h *ControlHost) receiveForwarded(list []pace.ZoneSamples) {
	if !h.features.Pace || !h.current {
		return
	}
	h.shares.pool.AddForwarded(h.now(), list)
	for _, z := range list {
		h.metrics.Counter("pace.forwarded").Inc(int64(len(z.Samples)))
	}
}

// levelsRevision returns the revision of the shares after all changes of the catalog
// are in the pool, so that the first update with a new backend server has its share.
// The caller holds mu.
func (h *ControlHost) levelsRevision() uint64 {
	if !h.features.Pace {
		return 0
	}
	if revision := h.catalog.SteeringRevision(); revision != h.shares.revision {
		var changed []pace.Server
		for _, r := range h.catalog.SteeringSince(h.shares.revision) {
			changed = append(changed, pace.Server{
				Token: uint32(steering.TokenOf(r.ID)), ID: r.ID, Service: r.Service, Zone: r.Zone, Born: r.Born, Absent: r.Status >= catalog.Draining,
				Slots: r.Slots, Silent: r.Status == catalog.Silent,
			})
		}
		h.shares.revision = revision
		h.logShares(h.shares.pool.UpdateServers(h.now(), changed))
	}
	return h.shares.pool.Revision()
}

// addSamples passes the samples of an entry host to the pool. The caller holds mu.
func (h *ControlHost) addSamples(follower feed.HostInfo, r feed.Report) {
	if !h.features.Pace || len(r.Samples) == 0 {
		return
	}
	h.shares.pool.Add(h.now(), follower.Zone, r.Samples)
	h.zones.addReport(follower.Zone, r, h.shares.pool, h.cold.document)
	h.metrics.Counter("pace.samples").Inc(int64(len(r.Samples)))
	h.metrics.Counter("pace.unsampled").Inc(int64(r.Unsampled))
}

// tickShares updates the shares at pace.TickInterval. It reports whether one changed.
// The caller holds mu.
func (h *ControlHost) tickShares() bool {
	if !h.features.Pace || h.now()-h.shares.tickedAt < pace.TickInterval-controlTick/2 {
		return false
	}
	h.shares.tickedAt = h.now()
	before := h.shares.pool.Revision()
	after := h.levelsRevision()
	changes := h.shares.pool.Tick(h.now())
	h.logShares(changes)
	for _, name := range h.shares.pool.Services() {
		s := h.shares.pool.Service(name)
		h.metrics.Gauge("pace.below_full." + name).Update(int64(s.Below))
		h.metrics.Gauge("pace.lowest_share." + name).Update(int64(s.Lowest))
	}
	zonesChanged, hasBatch := h.tickZones(), h.forward()
	return len(changes) > 0 || after != before || zonesChanged || hasBatch
}

func (h *ControlHost) logShares(changes []pace.Change) {
	for _, c := range changes {
		if !h.log.Allow("pace") {
			continue
		}
		h.log.Write("pace", "changed the share of new flows of a backend server", eventlog.Fields{
			"backend": c.ID, "service": c.Service, "born": c.Born, "share": c.Share, "before": c.Before, "reason": string(c.Reason),
			"outcomes": c.Outcomes, "failures": c.Failures, "latency_ratio": math.Round(100*c.Ratio) / 100,
		})
	}
}

// newRandom returns a generator that differs between hosts and starts.
func newRandom() *rand.PCG {
	return rand.NewPCG(rand.Uint64(), rand.Uint64())
}

// shareLevels holds the shares that the followed control hosts sent, by address of the
// control host and token of the backend server. The lowest share is in force.
type shareLevels map[string]map[steering.Token]steering.Share

// receive adds the shares in an update of a control host. It calls set for each
// backend server with the share that is now in force.
func (l shareLevels) receive(addr string, levels []pace.Level, set func(steering.Token, steering.Share)) {
	if len(levels) > 0 && l[addr] == nil {
		l[addr] = map[steering.Token]steering.Share{}
	}
	for _, x := range levels {
		token := steering.Token(x.Token)
		if x.Share >= pace.FullShare {
			delete(l[addr], token)
		} else {
			l[addr][token] = steering.Share{Born: x.Born, Value: max(x.Share, 1)}
		}
		set(token, l.lowest(token))
	}
}

// drop removes the shares of a control host that disconnected.
func (l shareLevels) drop(addr string, set func(steering.Token, steering.Share)) {
	dropped := l[addr]
	delete(l, addr)
	for token := range dropped {
		set(token, l.lowest(token))
	}
}

// lowest returns the lowest share of a backend server since its latest start.
func (l shareLevels) lowest(token steering.Token) steering.Share {
	lowest := steering.Share{Value: steering.FullShare}
	for _, shares := range l {
		x, ok := shares[token]
		if ok && (x.Born > lowest.Born || x.Born == lowest.Born && x.Value < lowest.Value) {
			lowest = x
		}
	}
	return lowest
}

// expire removes shares of backend servers that are no longer known. A share may
// arrive before the table with its backend server, so it does nothing while there are
// fewer shares than backend servers.
func (l shareLevels) expire(t *steering.Table) {
	for _, shares := range l {
		if len(shares) <= t.Len() {
			continue
		}
		for token := range shares {
			if !t.Contains(token) {
				delete(shares, token)
			}
		}
	}
}
