package homes

import (
	"context"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/oncekey"
	"greengagequay/internal/slots"
	"greengagequay/internal/table"
)

// Claim is a home's claim on a unit, or the renewal of its lease.
type Claim struct {
	Unit   string
	Mark   fence.Mark
	Report bool // the home needs the host's report
}

// FenceArgs are the claims of one host on units.
type FenceArgs struct {
	Slots []Claim
	Keys  []Claim
}

func (a *FenceArgs) addSlots(c Claim) { a.Slots = append(a.Slots, c) }
func (a *FenceArgs) addKeys(c Claim)  { a.Keys = append(a.Keys, c) }

// FenceReply answers FenceArgs, in its order.
type FenceReply struct {
	Process string // that answers
	Slots   []SlotReply
	Keys    []KeyReply
}

// SlotReply answers a claim on slots.
type SlotReply struct {
	Agreed bool
	Known  fence.Epoch // newest epoch that the host knows
	Report slots.Report
}

// KeyReply answers a claim on a shard.
type KeyReply struct {
	Agreed bool
	Known  fence.Epoch
	Report oncekey.Report
}

// fenceCalls are the claims to send, by host.
type fenceCalls map[string]*FenceArgs

func (c fenceCalls) of(host string) *FenceArgs {
	if c[host] == nil {
		c[host] = &FenceArgs{}
	}
	return c[host]
}

// fence sends claims to a host, one call at a time.
func (h *Homes) fence(host string, args *FenceArgs) {
	h.mu.Lock()
	_, busy := h.calling[host]
	h.calling[host] = struct{}{}
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
		delete(h.calling, host)
		h.mu.Unlock()
		if err == nil {
			h.fenced(host, args, reply, asked)
		}
	})
}

func (h *Homes) fenced(host string, args *FenceArgs, reply FenceReply, asked time.Time) {
	for i, r := range reply.Slots {
		h.slotsFenced(host, reply.Process, args.Slots[i], r, asked)
	}
	for i, r := range reply.Keys {
		u, claim := h.shardOf(args.Keys[i].Unit), args.Keys[i]
		u.mu.Lock()
		if r.Agreed {
			u.core.AddReport(host, claim.Mark.Epoch, r.Report, h.Clock.Now())
		} else {
			u.core.ClaimRefused(r.Known)
		}
		u.mu.Unlock()
	}
}

func (h *Homes) slotsFenced(host, process string, claim Claim, r SlotReply, asked time.Time) {
	u := h.slotsOf(claim.Unit)
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
	u.acks[process] = asked
	if until, ok := h.majority(claim.Unit, u.acks); ok {
		u.core.Renew(claim.Mark.Epoch, until)
	}
}

// majority returns when the slowest host of a majority of the electorate was
// asked.
func (h *Homes) majority(unit string, acks map[string]time.Time) (time.Time, bool) {
	v := h.view()
	for _, b := range v.table.Backends {
		if slotUnitOf(b) != unit {
			continue
		}
		var asked []time.Time
		voters := v.electorate(b)
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

// Service answers the calls of other hosts.
type Service struct{ h *Homes }

// Service returns the receiver of other hosts' calls, to be registered as
// "Homes".
func (h *Homes) Service() *Service { return &Service{h: h} }

// Fence takes claims. A claim that this host's newer table contradicts is
// refused, so that a process without memory agrees to no outdated home. So is
// one that is newer than this host's table, by which this host may learn that
// it was dropped and that its records are not whole.
func (s *Service) Fence(args FenceArgs, out *FenceReply) error {
	v := s.h.view()
	s.h.noteHosts(v)
	out.Process = s.h.self
	for _, claim := range args.Slots {
		out.Slots = append(out.Slots, s.fenceSlots(v, claim, v.homes[claim.Unit]))
	}
	for _, claim := range args.Keys {
		home := v.pairs[claim.Unit].home
		out.Keys = append(out.Keys, s.fenceKeys(v, claim, home.Name))
	}
	return nil
}

func contradicts(t *table.Table, claim Claim, home string) bool {
	return fence.Epoch(t.Revision) > claim.Mark.Epoch && home != "" && home != hostOf(claim.Mark.Home)
}

// isBehind reports whether a claim is newer than this host's table and than
// what this host agreed to.
func isBehind(t *table.Table, claim Claim, agreed fence.Epoch) bool {
	return fence.Epoch(t.Revision) < claim.Mark.Epoch && (claim.Report || agreed != claim.Mark.Epoch)
}

func (s *Service) fenceSlots(v view, claim Claim, home string) SlotReply {
	u := s.h.slotsOf(claim.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	if isBehind(v.table, claim, u.core.Epoch()) {
		return SlotReply{}
	}
	if contradicts(v.table, claim, home) {
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
	u := s.h.shardOf(claim.Unit)
	if u == nil {
		return KeyReply{}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if isBehind(v.table, claim, u.core.Epoch()) {
		return KeyReply{}
	}
	if contradicts(v.table, claim, home) {
		return KeyReply{Known: u.core.Epoch()}
	}
	report, ok := u.core.Fence(claim.Mark, s.h.Clock.Now())
	return KeyReply{Agreed: ok, Known: u.core.Epoch(), Report: report}
}
