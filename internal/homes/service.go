package homes

import (
	"context"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/slots"
	"greengagequay/internal/table"
)

// Claim is a home's claim on a unit, or a renewal of its lease.
type Claim struct {
	Unit   string
	Mark   fence.Mark
	Report bool // the home needs a report from the host that it asks
}

// FenceArgs carries the claims of one host.
type FenceArgs struct {
	Slots []Claim
	Keys  []Claim
}

func (a *FenceArgs) addSlots(c Claim) { a.Slots = append(a.Slots, c) }
func (a *FenceArgs) addKeys(c Claim)  { a.Keys = append(a.Keys, c) }

// FenceReply answers the claims of FenceArgs in their order.
type FenceReply struct {
	Process string // process that answers
	Slots   []SlotReply
	Keys    []KeyReply
}

// SlotReply answers a claim on slots.
type SlotReply struct {
	Agreed bool
	Known  fence.Epoch // newest epoch that the answering host knows
	Report slots.Report
}

// KeyReply answers a claim on a shard.
type KeyReply struct {
	Agreed bool
	Known  fence.Epoch // newest epoch that the answering host knows
	Report idempotency.Report
}

// claimsByHost holds the claims to send to each host.
type claimsByHost map[string]*FenceArgs

func (c claimsByHost) forHost(host string) *FenceArgs {
	if c[host] == nil {
		c[host] = &FenceArgs{}
	}
	return c[host]
}

// sendClaims sends claims to a host. It does nothing while an earlier call to that
// host is in progress; a later tick collects the claims again.
func (h *Homes) sendClaims(host string, args *FenceArgs) {
	h.mu.Lock()
	_, busy := h.fenceCalls[host]
	h.fenceCalls[host] = struct{}{}
	h.mu.Unlock()
	if busy {
		return
	}
	asked := h.Clock.Now()
	h.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply FenceReply
		err := h.call(ctx, host, "Fence", *args, &reply)
		h.mu.Lock()
		delete(h.fenceCalls, host)
		h.mu.Unlock()
		if err == nil {
			h.handleFenceReply(host, args, reply, asked)
		}
	})
}

func (h *Homes) handleFenceReply(host string, args *FenceArgs, reply FenceReply, asked time.Time) {
	for i, r := range reply.Slots {
		h.handleSlotReply(host, reply.Process, args.Slots[i], r, asked)
	}
	for i, r := range reply.Keys {
		u, claim := h.shardUnitByName(args.Keys[i].Unit), args.Keys[i]
		u.mu.Lock()
		if r.Agreed {
			u.core.AddReport(host, claim.Mark.Epoch, r.Report, h.Clock.Now())
		} else {
			u.core.ClaimRefused(r.Known)
		}
		u.mu.Unlock()
	}
}

func (h *Homes) handleSlotReply(host, process string, claim Claim, r SlotReply, asked time.Time) {
	u := h.slotUnitByName(claim.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !r.Agreed {
		u.core.ClaimRefused(r.Known)
		return
	}
	if u.core.ClaimEpoch() != claim.Mark.Epoch {
		return
	}
	if claim.Report {
		u.core.AddReport(host, claim.Mark.Epoch, r.Report, h.Clock.Now())
	}
	u.ackedClaimSentAt[process] = asked
	if askedAt, ok := h.majorityAskedAt(claim.Unit, u.ackedClaimSentAt); ok {
		u.core.Renew(claim.Mark.Epoch, askedAt)
	}
}

// majorityAskedAt returns the latest time such that a majority of the unit's lease
// voters agreed to a claim or renewal sent at that time or later. The home's lease
// counts from it. It returns false if no majority has agreed.
func (h *Homes) majorityAskedAt(unit string, acks map[string]time.Time) (time.Time, bool) {
	v := h.view()
	for _, b := range v.table.Backends {
		if slotUnitName(b) != unit {
			continue
		}
		var asked []time.Time
		voters := v.leaseVoters(b)
		for _, host := range voters {
			if at, ok := acks[v.process(host)]; ok {
				asked = append(asked, at)
			}
		}
		need := len(voters)/2 + 1
		if len(asked) < need {
			return time.Time{}, false
		}
		slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
		return asked[need-1], true
	}
	return time.Time{}, false
}

// Service answers calls of other hosts.
type Service struct{ h *Homes }

// Service returns the receiver of calls of other hosts. It must be registered
// under the name "Homes".
func (h *Homes) Service() *Service { return &Service{h: h} }

// Fence answers claims. It refuses a claim that this host's newer table
// contradicts, since a restarted process does not remember to which claims it
// agreed and must agree to no outdated home. It also refuses a claim that is newer
// than this host's table: the newer table may show that this host was removed and
// that its records are therefore incomplete.
func (s *Service) Fence(args FenceArgs, out *FenceReply) error {
	v := s.h.view()
	s.h.updateHosts(v)
	out.Process = s.h.self
	for _, claim := range args.Slots {
		out.Slots = append(out.Slots, s.fenceSlots(v, claim, v.homes[claim.Unit]))
	}
	for _, claim := range args.Keys {
		home := v.shardPairs[claim.Unit].home
		out.Keys = append(out.Keys, s.fenceKeys(v, claim, home.Name))
	}
	return nil
}

// contradictsTable reports whether the table is newer than the claim and names
// another home.
func contradictsTable(t *table.Table, claim Claim, home string) bool {
	return fence.Epoch(t.Revision) > claim.Mark.Epoch && home != "" && home != hostOf(claim.Mark.Home)
}

// isAheadOfTable reports whether a claim is newer than this host's table. It returns
// false for a renewal of the claim to which this host last agreed, unless the home
// asks for a report.
func isAheadOfTable(t *table.Table, claim Claim, agreed fence.Epoch) bool {
	return fence.Epoch(t.Revision) < claim.Mark.Epoch && (claim.Report || agreed != claim.Mark.Epoch)
}

func (s *Service) fenceSlots(v view, claim Claim, home string) SlotReply {
	u := s.h.slotUnitByName(claim.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	if isAheadOfTable(v.table, claim, u.core.Epoch()) {
		return SlotReply{}
	}
	if contradictsTable(v.table, claim, home) {
		return SlotReply{Known: u.core.Epoch()}
	}
	report, ok := u.core.Fence(claim.Mark, s.h.Clock.Now())
	if u.core.ClaimEpoch() == 0 {
		for attempt := range u.waiting {
			u.settle(attempt, slots.NotHome)
		}
	}
	if !claim.Report {
		report = slots.Report{}
	}
	return SlotReply{Agreed: ok, Known: u.core.Epoch(), Report: report}
}

func (s *Service) fenceKeys(v view, claim Claim, home string) KeyReply {
	u := s.h.shardUnitByName(claim.Unit)
	if u == nil {
		return KeyReply{}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if isAheadOfTable(v.table, claim, u.core.Epoch()) {
		return KeyReply{}
	}
	if contradictsTable(v.table, claim, home) {
		return KeyReply{Known: u.core.Epoch()}
	}
	report, ok := u.core.Fence(claim.Mark, s.h.Clock.Now())
	return KeyReply{Agreed: ok, Known: u.core.Epoch(), Report: report}
}
