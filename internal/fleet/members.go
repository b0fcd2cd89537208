package fleet

import (
	"context"
	"time"

	"greengagequay/internal/control"
	"greengagequay/internal/council"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/raft"
)

const memberChangeTimeout = time.Second

// manageMembers makes the next change of the log's members, if this host leads.
func (h *ControlHost) manageMembers() {
	situation, leads := h.situation()
	if !leads {
		return
	}
	step, due := council.Next(situation)
	if !due || !h.claimChange() {
		return
	}
	h.done.Go(func() { h.takeStep(step) })
}

func (h *ControlHost) claimChange() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	claimed := !h.changing
	h.changing = true
	return claimed
}

func (h *ControlHost) takeStep(step council.Change) {
	ctx, cancel := context.WithTimeout(h.ctx, memberChangeTimeout)
	defer cancel()
	_, err := h.host.ChangeMemberHere(ctx, control.MemberChange{
		Action: control.Action(step.Action), Name: step.Member.Name, Addr: step.Member.Addr,
	})
	h.log.Event("members", "changed the members of the log", eventlog.Fields{
		"verb": step.Action, "member": step.Member.Name, "reason": step.Reason, "outcome": outcomeOf(err),
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changing = false
}

// situation returns what the rules for members need to know, and whether this
// host leads.
func (h *ControlHost) situation() (council.ClusterState, bool) {
	view := h.host.View()
	s := council.ClusterState{
		Self: view.Self, Membership: view.Membership, CaughtUp: view.CaughtUp,
		TargetVoters: h.cfg.voters(), UnreachableFor: map[raft.ID]time.Duration{},
	}
	now := h.now()
	open := h.links.open()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range open {
		s.Hosts = append(s.Hosts, council.Host{ID: p.ID, Addr: logAddr(p.Addr), Zone: p.Zone})
		h.seenAt[p.ID] = now
	}
	s.Hosts = append(s.Hosts, council.Host{ID: view.Self, Addr: logAddr(h.cfg.feedAddr()), Zone: h.cfg.Zone})
	h.seenAt[view.Self] = now
	for _, m := range view.Membership.Members {
		at, seen := h.seenAt[m.ID]
		if !seen {
			h.seenAt[m.ID] = now
		}
		if seen && at != now {
			s.UnreachableFor[m.ID] = now - at
		}
	}
	return s, view.Leads
}

// Votes reports whether this host is a voter of the log.
func (h *ControlHost) Votes() bool {
	view := h.host.View()
	return view.Membership.IsVoter(view.Self)
}

func (h *ControlHost) votes() int64 {
	if h.Votes() {
		return 1
	}
	return 0
}
