package homes

import (
	"context"
	"maps"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/model"
	"greengagequay/internal/oncekey"
	"greengagequay/internal/settings"
	"greengagequay/internal/slots"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// keyLease is how long the home of a shard permits requests after its state
// was last known to be current. A quiet system confirms a state only each time
// a pull ends, at each level of the tree of sources.
const keyLease = 20 * time.Second

// maxShardRecords bounds the records of one shard.
const maxShardRecords = 4096

// tick does what is due: claims, leases, takeovers and the ends of waits.
func (h *Homes) tick() {
	v := h.view()
	h.noteHosts(v)
	calls := fenceCalls{}
	for _, b := range h.tended(v) {
		h.tendSlots(v, b, calls)
	}
	retention := h.longestRetention()
	for _, u := range h.shards {
		h.tendShard(v, u, retention, calls)
	}
	h.dropUnits(v)
	for host, args := range calls {
		h.fence(host, args)
	}
}

// noteHosts keeps the addresses of all hosts and notices when the table lists
// this host for the first time or again.
func (h *Homes) noteHosts(v view) {
	h.joining.Lock()
	defer h.joining.Unlock()
	h.mu.Lock()
	for _, host := range v.table.Hosts {
		h.hosts[host.Name] = host
	}
	own, listed := v.byName[h.Name]
	now := presence{own.Num, own.Returns}
	joined := listed && h.presence != now
	if listed {
		h.presence = now
	}
	if joined {
		h.since = v.now.UnixMicro()
	}
	h.mu.Unlock()
	if !joined {
		return
	}
	for _, u := range h.slotUnits() {
		u.mu.Lock()
		u.core.Rejoin(v.now)
		u.mu.Unlock()
	}
	for _, u := range h.shards {
		u.mu.Lock()
		u.core.Rejoin(v.now)
		u.mu.Unlock()
	}
}

// tended returns the backend servers whose home this host is or may have been.
func (h *Homes) tended(v view) []table.Backend {
	var list []table.Backend
	for _, unit := range v.own {
		list = append(list, v.listed[unit])
	}
	for _, u := range h.slotUnits() {
		if b, ok := v.listed[u.name]; ok && v.homes[u.name] != h.Name {
			list = append(list, b)
		}
	}
	return slices.DeleteFunc(list, func(b table.Backend) bool { return !b.Request.IsValid() || b.State == model.Gone })
}

func (h *Homes) tendSlots(v view, b table.Backend, calls fenceCalls) {
	u := h.slotsOf(slotUnitOf(b))
	u.mu.Lock()
	defer u.mu.Unlock()
	if v.slotHome(b) != h.Name || v.process(h.Name) != h.self {
		u.settleAll(u.core.Resign(), slots.NotHome)
		return
	}
	params := h.slotParams(v, b)
	if !u.core.HasCurrentClaim() {
		u.former = hostOf(u.core.Home())
		hosts := withFormer(v.names(), u.former)
		if u.core.Claim(fence.Epoch(v.table.Revision), int64(b.Incarnation), hosts, v.first(h.Replica), params, v.now) {
			u.claimed = v.now
			clear(u.acks)
		}
	}
	u.core.SetParams(params)
	u.core.UpdateListed(func(host string) bool { return stillAsked(v, host, u.former, u.claimed) }, v.now)
	granted, late := u.core.Tick(v.now)
	u.settleAll(granted, slots.Granted)
	u.settleAll(late, slots.Full)
	claim := fence.Mark{Epoch: u.core.ClaimEpoch(), Home: h.self}
	if claim.Epoch == 0 {
		return
	}
	for _, host := range u.core.MissingReports() {
		calls.of(host).addSlots(Claim{Unit: u.name, Mark: claim, Report: true})
	}
	for _, host := range v.names() {
		asked, ok := u.acks[v.process(host)]
		renew := v.votes(host, b) && v.now.Sub(asked) >= renewInterval
		if !ok || renew {
			calls.of(host).addSlots(Claim{Unit: u.name, Mark: claim})
		}
	}
}

// withFormer adds the former home of a unit, which may have left the table.
func withFormer(hosts []string, former string) []string {
	if former == "" || slices.Contains(hosts, former) {
		return hosts
	}
	return append(hosts, former)
}

func (h *Homes) slotParams(v view, b table.Backend) slots.Params {
	p := slots.Params{Slots: b.Slots, MaxHold: MaxTimeout}
	p.InZone = b.Zone == v.byName[h.Name].Zone
	path := settings.Path(b.Service, b.Zone, b.ID)
	h.Replica.Read(func(s *state.State) {
		if p.Slots <= 0 {
			p.Slots = s.Tree.Int(path, settings.BackendSlots)
		}
		p.Queue = s.Tree.Int(path, settings.RequestQueue)
		p.Ramp = s.Tree.Duration(path, settings.BackendRamp)
	})
	return p
}

func (h *Homes) tendShard(v view, u *shardUnit, retention time.Duration, calls fenceCalls) {
	u.mu.Lock()
	defer u.mu.Unlock()
	home, backup := v.pairs[u.name].home, v.pairs[u.name].backup
	if home.Name != h.Name || v.process(h.Name) != h.self {
		u.core.Resign()
		return
	}
	pair := v.process(home.Name) + " " + v.process(backup.Name)
	if !u.core.HasCurrentClaim() || u.pair != pair {
		former := hostOf(u.core.Home())
		if u.core.Claim(fence.Epoch(v.table.Revision), withFormer(v.names(), former), v.first(h.Replica), oncekey.Params{Retention: retention, Lease: keyLease, MaxRecords: maxShardRecords}) {
			u.former, u.claimed, u.pair, u.backup = former, v.now, pair, backup.Name
		}
	}
	u.core.UpdateListed(func(host string) bool { return stillAsked(v, host, u.former, u.claimed) }, v.now)
	u.core.Renew(h.Confirmed())
	u.core.Expire(retention, v.now)
	claim := fence.Mark{Epoch: u.core.ClaimEpoch(), Home: h.self}
	for _, host := range u.core.MissingReports() {
		calls.of(host).addKeys(Claim{Unit: u.name, Mark: claim, Report: true})
	}
	h.syncShard(u, v.now)
}

// longestRetention returns the retention of records. A shard holds keys of all
// services, so the longest counts.
func (h *Homes) longestRetention() time.Duration {
	h.Replica.Read(func(s *state.State) {
		if h.retention.known && h.retention.revision == s.SettingsRevision {
			return
		}
		longest := s.Tree.Duration("/", settings.RequestRetention)
		for _, service := range s.Tree.Services() {
			longest = max(longest, s.Tree.Duration(settings.Path(service), settings.RequestRetention))
		}
		h.retention = retention{known: true, revision: s.SettingsRevision, longest: longest}
	})
	return h.retention.longest
}

// retention is the longest retention of the settings of a revision.
type retention struct {
	known    bool
	revision uint64
	longest  time.Duration
}

// syncShard brings the whole shard to the backup, after which it serves.
func (h *Homes) syncShard(u *shardUnit, now time.Time) {
	s, ok := u.core.PendingSync(now)
	if !ok || u.syncing {
		return
	}
	if u.backup == "" {
		u.core.Open(s.Claim.Epoch, now)
		return
	}
	u.syncing = true
	backup := u.backup
	h.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var taken bool
		err := h.call(ctx, backup, "Sync", SyncArgs{Unit: u.name, Sync: s}, &taken)
		u.mu.Lock()
		defer u.mu.Unlock()
		u.syncing = false
		if err == nil && taken {
			u.core.Open(s.Claim.Epoch, h.Clock.Now())
		}
	})
}

// dropUnits forgets backend servers that have left the table and run nothing.
// A unit is locked before h.mu, here as elsewhere.
func (h *Homes) dropUnits(v view) {
	for _, u := range h.slotUnits() {
		if _, ok := v.listed[u.name]; ok {
			continue
		}
		u.mu.Lock()
		if u.core.Idle() && fence.Epoch(v.table.Revision) > u.core.Epoch() {
			h.forget(u.name)
		}
		u.mu.Unlock()
	}
}

func (h *Homes) slotUnits() []*slotUnit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.slots))
}

func (h *Homes) forget(unit string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.slots, unit)
	delete(h.hints, unit)
}

// settleAll answers queued attempts.
func (u *slotUnit) settleAll(attempts []string, verdict slots.Verdict) {
	for _, attempt := range attempts {
		u.settle(attempt, verdict)
	}
}

func (u *slotUnit) settle(attempt string, verdict slots.Verdict) {
	if ch := u.waiting[attempt]; ch != nil {
		delete(u.waiting, attempt)
		ch <- verdict
	}
}
