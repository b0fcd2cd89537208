package control

import (
	"context"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/state"
)

// Members returns the members, with how far each one is if the leader can be
// asked.
func (h *Host) Members(ctx context.Context) []MemberStatus {
	if addr, err := h.leaderAddr(); err == nil && addr != h.Addr {
		if list, err := h.Transport.Members(ctx, addr); err == nil {
			return list
		}
	}
	return h.MembersHere()
}

// MembersHere returns the members as this host knows them.
func (h *Host) MembersHere() []MemberStatus {
	p := h.status.Load()
	var list []MemberStatus
	for _, m := range p.members.Members {
		list = append(list, MemberStatus{Member: m, Leader: m.ID == p.status.Leader, Matched: p.status.Match[m.ID]})
	}
	return list
}

// ChangeMember changes a member, here or on the leader, and returns the
// revision of the change. It may be repeated when an answer was lost.
func (h *Host) ChangeMember(ctx context.Context, c MemberChange) (uint64, error) {
	ctx, cancel := withLimit(ctx)
	defer cancel()
	for {
		revision, err := h.attemptChange(ctx, c)
		if err == nil || !h.mayRetry(ctx, err) {
			return revision, err
		}
		h.pause(ctx)
	}
}

func (h *Host) attemptChange(ctx context.Context, c MemberChange) (uint64, error) {
	addr, err := h.leaderAddr()
	switch {
	case err != nil:
		return 0, err
	case addr != h.Addr:
		return h.Transport.ChangeMember(ctx, addr, c)
	}
	return h.ChangeMemberHere(ctx, c)
}

func (h *Host) othersVote() bool { return len(h.status.Load().members.Voters()) > 1 }

// ChangeMemberHere changes a member if this host leads. A leader that is to be
// removed hands over, and leaves the change to the next one.
func (h *Host) ChangeMemberHere(ctx context.Context, c MemberChange) (uint64, error) {
	if _, leads := h.Leader(); leads && c.Action == Remove && c.Name == h.Name && h.othersVote() {
		h.HandOver(ctx)
		return 0, errNoLeader
	}
	change, err := h.changeOf(ctx, c)
	if err != nil {
		return 0, err
	}
	result, err := h.await(ctx, func(done func(state.Result, error)) { h.engine.change(change, done) })
	return result.Revision, err
}

// changeOf returns the change of the membership that c asks for.
func (h *Host) changeOf(ctx context.Context, c MemberChange) (func(raft.Membership) (raft.Membership, error), error) {
	switch c.Action {
	case Add:
		id, err := h.Transport.Identity(ctx, c.Addr)
		if err != nil {
			return nil, err
		}
		if id.Name != c.Name {
			return nil, fault.New(fault.Invalid, "check name and address", "the host at %s is %q, not %q", c.Addr, id.Name, c.Name)
		}
		return func(m raft.Membership) (raft.Membership, error) {
			if _, member := m.Find(id.ID); !member && !id.Blank && !h.Managed {
				return m, fault.New(fault.Conflict, "start it with an empty data folder", "host %q has part in a log already", c.Name)
			}
			return m.Add(raft.Member{ID: id.ID, Name: c.Name, Addr: c.Addr})
		}, nil
	case Promote:
		return func(m raft.Membership) (raft.Membership, error) {
			x, ok := m.Named(c.Name)
			if ok && !x.Voter && !h.engine.node.CaughtUp(x.ID) {
				return m, fault.New(fault.Unavailable, "try again once it has caught up; see 'quayctl control members'", "learner %q lags behind or does not answer", c.Name)
			}
			return m.Promote(c.Name)
		}, nil
	case Remove:
		return func(m raft.Membership) (raft.Membership, error) { return m.Remove(c.Name) }, nil
	}
	return nil, fault.New(fault.Invalid, "use add, promote or remove", "action %q does not exist", c.Action)
}

// bootstrap starts a new log, if the settings ask for it and this host is the
// first of the control hosts. All of them have to answer and to have no part
// in a log: so a host whose disk was lost does not start a second log beside
// the one it was a member of.
func (h *Host) bootstrap(ctx context.Context) {
	if !h.status.Load().blank {
		return
	}
	if h.Managed {
		return
	}
	if !h.Bootstrap || len(h.Peers) == 0 || h.Peers[0].Name != h.Name {
		h.Log.Infof("waits to be a member: 'quayctl control add %s %s'", h.Name, h.Addr)
		return
	}
	for ctx.Err() == nil && h.status.Load().blank {
		members, err := h.founders(ctx)
		if err == nil {
			err = h.found(ctx, members)
		}
		if err == nil {
			return
		}
		if fault.KindOf(err) == fault.Conflict {
			h.Log.Warnf("no new log: %v", err)
			return
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(foundingPause):
		}
	}
}

// founders returns the members of a new log.
func (h *Host) founders(ctx context.Context) ([]raft.Member, error) {
	var members []raft.Member
	for _, p := range h.Peers {
		id := h.Identity()
		if p.Name != h.Name {
			callCtx, cancel := context.WithTimeout(ctx, electionTimeout)
			var err error
			id, err = h.Transport.Identity(callCtx, p.Addr)
			cancel()
			if err != nil {
				return nil, err
			}
		}
		if !id.Blank {
			return nil, fault.New(fault.Conflict, "add this host with 'quayctl control add' and 'promote'", "control host %s is a member of a log already", p.Name)
		}
		members = append(members, raft.Member{ID: id.ID, Name: p.Name, Addr: p.Addr, Voter: true})
	}
	return members, nil
}

func (h *Host) found(ctx context.Context, members []raft.Member) error {
	answer := make(chan error, 1)
	if err := h.ask(ctx, func(now time.Duration) { answer <- h.engine.found(now, members) }); err != nil {
		return err
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View is what the rules for members need to know of the log.
type View struct {
	Self       raft.ID
	Leads      bool
	Membership raft.Membership
	CaughtUp   map[raft.ID]bool // on the leader: members that could vote without a pause in commits
}

// View returns what this host knows of the log.
func (h *Host) View() View {
	p := h.status.Load()
	return View{
		Self: p.status.ID, Membership: p.members, CaughtUp: p.status.CaughtUp,
		Leads: p.status.Role == raft.Leader && p.blocked == nil,
	}
}
