package homes

import (
	"context"
	"maps"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/slots"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// keyLease is how long the home of a shard permits requests after its state was
// last known to be current. A host pulls the state from a source, which may itself
// pull it from another host. While nothing changes, a source answers a pull only
// after follow.PullWait. So with each host between the control hosts and the home,
// the time of the last confirmation can be that much older.
const keyLease = 20 * time.Second

// maxShardRecords is the maximum number of records in one shard.
const maxShardRecords = 4096

// tick makes and renews claims, advances takeovers, and ends waits whose time has
// passed.
func (h *Homes) tick() {
	v := h.view()
	h.updateHosts(v)
	calls := claimsByHost{}
	for _, b := range h.managedBackends(v) {
		h.updateSlots(v, b, calls)
	}
	retention := h.longestRetention()
	for _, u := range h.shards {
		h.updateShard(v, u, retention, calls)
	}
	h.deleteUnlistedUnits(v)
	for host, args := range calls {
		h.sendClaims(host, args)
	}
}

// updateHosts stores the addresses of all listed hosts. If the table lists this
// host for the first time or again, it makes all units rejoin.
func (h *Homes) updateHosts(v view) {
	h.joinMu.Lock()
	defer h.joinMu.Unlock()
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
		h.listedSince = v.now.UnixMicro()
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

// managedBackends returns the listed backend servers of which this host is the home
// or has a slot unit. It omits those that take no requests or are gone.
func (h *Homes) managedBackends(v view) []table.Backend {
	var list []table.Backend
	for _, unit := range v.ownUnits {
		list = append(list, v.backends[unit])
	}
	for _, u := range h.slotUnits() {
		if b, ok := v.backends[u.name]; ok && v.homes[u.name] != h.Name {
			list = append(list, b)
		}
	}
	return slices.DeleteFunc(list, func(b table.Backend) bool { return !b.Request.IsValid() || b.State == model.Gone })
}

// updateSlots makes, advances or renews this host's claim on the slots of a backend
// server, and adds the claims to send to calls. It resigns if this host is not the
// home.
func (h *Homes) updateSlots(v view, b table.Backend, calls claimsByHost) {
	u := h.slotUnitByName(slotUnitName(b))
	u.mu.Lock()
	defer u.mu.Unlock()
	if v.slotHome(b) != h.Name || v.process(h.Name) != h.self {
		u.settleAll(u.core.Resign(), slots.NotHome)
		return
	}
	params := h.slotParams(v, b)
	if !u.core.HasCurrentClaim() {
		u.formerHome = hostOf(u.core.Home())
		hosts := withFormer(v.hostNames(), u.formerHome)
		if u.core.Claim(fence.Epoch(v.table.Revision), int64(b.Incarnation), hosts, v.initialProcesses(h.Replica), params, v.now) {
			u.claimedAt = v.now
			clear(u.ackedClaimSentAt)
		}
	}
	u.core.SetParams(params)
	u.core.UpdateListed(func(host string) bool { return awaitsReport(v, host, u.formerHome, u.claimedAt) }, v.now)
	granted, expired := u.core.Tick(v.now)
	u.settleAll(granted, slots.Granted)
	u.settleAll(expired, slots.Full)
	claim := fence.Mark{Epoch: u.core.ClaimEpoch(), Home: h.self}
	if claim.Epoch == 0 {
		return
	}
	for _, host := range u.core.MissingReports() {
		calls.forHost(host).addSlots(Claim{Unit: u.name, Mark: claim, Report: true})
	}
	for _, host := range v.hostNames() {
		asked, ok := u.ackedClaimSentAt[v.process(host)]
		renew := v.isLeaseVoter(host, b) && v.now.Sub(asked) >= renewInterval
		if !ok || renew {
			calls.forHost(host).addSlots(Claim{Unit: u.name, Mark: claim})
		}
	}
}

// withFormer adds the former home of a unit, which the table may no longer list.
func withFormer(hosts []string, former string) []string {
	if former == "" || slices.Contains(hosts, former) {
		return hosts
	}
	return append(hosts, former)
}

func (h *Homes) slotParams(v view, b table.Backend) slots.Params {
	p := slots.Params{Slots: b.Slots, MaxHold: MaxRequestTimeout}
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

// updateShard makes or advances this host's claim on a shard, and adds the claims to
// send to calls. It resigns if this host is not the home.
func (h *Homes) updateShard(v view, u *shardUnit, retention time.Duration, calls claimsByHost) {
	u.mu.Lock()
	defer u.mu.Unlock()
	home, backup := v.shardPairs[u.name].home, v.shardPairs[u.name].backup
	if home.Name != h.Name || v.process(h.Name) != h.self {
		u.core.Resign()
		return
	}
	pair := v.process(home.Name) + " " + v.process(backup.Name)
	if !u.core.HasCurrentClaim() || u.pair != pair {
		formerHome := hostOf(u.core.Home())
		if u.core.Claim(fence.Epoch(v.table.Revision), withFormer(v.hostNames(), formerHome), v.initialProcesses(h.Replica), idempotency.Params{Retention: retention, Lease: keyLease, MaxRecords: maxShardRecords}) {
			u.formerHome, u.claimedAt, u.pair, u.backup = formerHome, v.now, pair, backup.Name
		}
	}
	u.core.UpdateListed(func(host string) bool { return awaitsReport(v, host, u.formerHome, u.claimedAt) }, v.now)
	u.core.Renew(h.StateConfirmedAt())
	u.core.Expire(retention, v.now)
	claim := fence.Mark{Epoch: u.core.ClaimEpoch(), Home: h.self}
	for _, host := range u.core.MissingReports() {
		calls.forHost(host).addKeys(Claim{Unit: u.name, Mark: claim, Report: true})
	}
	h.syncShard(u, v.now)
}

// longestRetention returns the longest retention in the settings. It applies to all
// shards, since each holds keys of all services.
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

// retention caches the longest retention in the settings at one revision.
type retention struct {
	known    bool
	revision uint64
	longest  time.Duration
}

// syncShard sends the whole shard to the backup and opens it for requests once the
// backup has accepted it. Without a backup it opens the shard at once.
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
		var accepted bool
		err := h.call(ctx, backup, "Sync", SyncArgs{Unit: u.name, Sync: s}, &accepted)
		u.mu.Lock()
		defer u.mu.Unlock()
		u.syncing = false
		if err == nil && accepted {
			u.core.Open(s.Claim.Epoch, h.Clock.Now())
		}
	})
}

// deleteUnlistedUnits deletes the slot units of backend servers that a newer table
// no longer lists, once this host has neither a claim on them nor a running attempt.
// Lock order: the mutex of a unit before h.mu.
func (h *Homes) deleteUnlistedUnits(v view) {
	for _, u := range h.slotUnits() {
		if _, ok := v.backends[u.name]; ok {
			continue
		}
		u.mu.Lock()
		if u.core.Idle() && fence.Epoch(v.table.Revision) > u.core.Epoch() {
			h.deleteSlotUnit(u.name)
		}
		u.mu.Unlock()
	}
}

func (h *Homes) slotUnits() []*slotUnit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.slots))
}

func (h *Homes) deleteSlotUnit(unit string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.slots, unit)
	delete(h.hints, unit)
}

// settleAll gives queued attempts their verdict.
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
