package fleet

import (
	"context"
	"time"

	"greengagequay/internal/control"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/raft"
	"greengagequay/internal/reconfig"
)

const memberChangeTimeout = time.Second

// manageMembers starts the next membership change of the replicated log that is
// needed, if this host leads.
func (h *ControlHost) manageMembers() {
	clusterState, leads := h.clusterState()
	if !leads {
		return
	}
	change, needed := reconfig.Next(clusterState)
	if !needed || !h.beginChange() {
		return
	}
	h.done.Go(func() { h.applyChange(change) })
}

// beginChange marks a membership change as in progress. It returns false if one
// is in progress already.
func (h *ControlHost) beginChange() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	begun := !h.changeInProgress
	h.changeInProgress = true
	return begun
}

// applyChange makes a membership change and logs its outcome.
func (h *ControlHost) applyChange(change reconfig.Change) {
	ctx, cancel := context.WithTimeout(h.ctx, memberChangeTimeout)
	defer cancel()
	_, err := h.host.ChangeMemberAsLeader(ctx, control.MemberChange{
		Action: control.Action(change.Action), Name: change.Member.Name, Addr: change.Member.Addr,
	})
	h.log.Event("members", "tried to change the members of the replicated log", eventlog.Fields{
		"verb": change.Action, "member": change.Member.Name, "reason": change.Reason, "outcome": outcomeOf(err),
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changeInProgress = false
}

// clusterState returns the input of reconfig.Next, and whether this host leads.
func (h *ControlHost) clusterState() (reconfig.ClusterState, bool) {
	view := h.host.View()
	s := reconfig.ClusterState{
		Self: view.Self, Membership: view.Membership, CaughtUp: view.CaughtUp,
		TargetVoters: h.cfg.targetVoters(), UnreachableFor: map[raft.ID]time.Duration{},
	}
	now := h.now()
	connected := h.controlHosts.connected()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range connected {
		s.Hosts = append(s.Hosts, reconfig.Host{ID: p.ID, Addr: logAddr(p.Addr), Zone: p.Zone})
		h.lastConnectedAt[p.ID] = now
	}
	s.Hosts = append(s.Hosts, reconfig.Host{ID: view.Self, Addr: logAddr(h.cfg.feedAddr()), Zone: h.cfg.Zone})
	h.lastConnectedAt[view.Self] = now
	for _, m := range view.Membership.Members {
		at, seen := h.lastConnectedAt[m.ID]
		if !seen {
			h.lastConnectedAt[m.ID] = now
		}
		if seen && at != now {
			s.UnreachableFor[m.ID] = now - at
		}
	}
	return s, view.Leads
}

// Votes reports whether this host is a voter of the replicated log.
func (h *ControlHost) Votes() bool {
	view := h.host.View()
	return view.Membership.IsVoter(view.Self)
}

// votes returns 1 if this host is a voter, else 0, for the metric.
func (h *ControlHost) votes() int64 {
	if h.Votes() {
		return 1
	}
	return 0
}
