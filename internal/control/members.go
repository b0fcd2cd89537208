package control

import (
	"context"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/state"
)

// Members returns the members, with the progress of each one if the leader can
// be reached.
func (h *Host) Members(ctx context.Context) []MemberStatus {
	if addr, err := h.leaderAddr(); err == nil && addr != h.Addr {
		if list, err := h.Transport.Members(ctx, addr); err == nil {
			return list
		}
	}
	return h.LocalMembers()
}

// LocalMembers returns the members as this host knows them.
func (h *Host) LocalMembers() []MemberStatus {
	p := h.status.Load()
	var list []MemberStatus
	for _, m := range p.members.Members {
		list = append(list, MemberStatus{Member: m, Leader: m.ID == p.status.Leader, Matched: p.status.Match[m.ID]})
	}
	return list
}

// ChangeMember changes a member, on this host or on the leader, and returns the
// revision of the change. Callers may repeat it when a reply was lost.
func (h *Host) ChangeMember(ctx context.Context, c MemberChange) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		revision, err := h.changeMemberOnce(ctx, c)
		if err == nil || !h.mayRetry(ctx, err) {
			return revision, err
		}
		h.sleep(ctx)
	}
}

func (h *Host) changeMemberOnce(ctx context.Context, c MemberChange) (uint64, error) {
	addr, err := h.leaderAddr()
	switch {
	case err != nil:
		return 0, err
	case addr != h.Addr:
		return h.Transport.ChangeMember(ctx, addr, c)
	}
	return h.ChangeMemberAsLeader(ctx, c)
}

func (h *Host) hasOtherVoters() bool { return len(h.status.Load().members.Voters()) > 1 }

// ChangeMemberAsLeader changes a member if this host leads. A leader that is to be
// removed transfers the leadership and returns an error, so that the caller
// repeats the change on the next leader.
func (h *Host) ChangeMemberAsLeader(ctx context.Context, c MemberChange) (uint64, error) {
	if _, leads := h.Leader(); leads && c.Action == Remove && c.Name == h.Name && h.hasOtherVoters() {
		h.TransferLeadership(ctx)
		return 0, errNotLeader
	}
	change, err := h.membershipChange(ctx, c)
	if err != nil {
		return 0, err
	}
	result, err := h.await(ctx, func(done func(state.Result, error)) { h.engine.proposeMembership(change, done) })
	return result.Revision, err
}

// membershipChange returns a function that applies c to a membership.
func (h *Host) membershipChange(ctx context.Context, c MemberChange) (func(raft.Membership) (raft.Membership, error), error) {
	switch c.Action {
	case Add:
		id, err := h.Transport.Identity(ctx, c.Addr)
		if err != nil {
			return nil, err
		}
		if id.Name != c.Name {
			return nil, fault.New(fault.Invalid, "check the name and the address of the host", "the host at %s is %q, not %q", c.Addr, id.Name, c.Name)
		}
		return func(m raft.Membership) (raft.Membership, error) {
			if _, member := m.Find(id.ID); !member && !id.Blank && !h.Managed {
				return m, fault.New(fault.Conflict, "start the host with an empty data folder", "host %q is already a member of a log", c.Name)
			}
			return m.Add(raft.Member{ID: id.ID, Name: c.Name, Addr: c.Addr})
		}, nil
	case Promote:
		return func(m raft.Membership) (raft.Membership, error) {
			x, ok := m.FindByName(c.Name)
			if ok && !x.Voter && !h.engine.node.CaughtUp(x.ID) {
				return m, fault.New(fault.Unavailable, "promote the learner once it has caught up; see 'quayctl control members'", "learner %q lags behind or does not respond", c.Name)
			}
			return m.Promote(c.Name)
		}, nil
	case Remove:
		return func(m raft.Membership) (raft.Membership, error) { return m.Remove(c.Name) }, nil
	}
	return nil, fault.New(fault.Invalid, "use add, promote or remove", "action %q does not exist", c.Action)
}

// bootstrap starts a new log if the settings request it and this host is the
// first control host in them. It waits until all control hosts respond, and
// starts no log if one of them is already a member of a log: otherwise a host
// that lost its disk would start a second log beside its former one.
func (h *Host) bootstrap(ctx context.Context) {
	if !h.status.Load().blank {
		return
	}
	if h.Managed {
		return
	}
	if !h.Bootstrap || len(h.Peers) == 0 || h.Peers[0].Name != h.Name {
		h.Log.Infof("waiting to be added as a member with 'quayctl control add %s %s'", h.Name, h.Addr)
		return
	}
	for ctx.Err() == nil && h.status.Load().blank {
		members, err := h.collectVoters(ctx)
		if err == nil {
			err = h.startLog(ctx, members)
		}
		if err == nil {
			return
		}
		if fault.KindOf(err) == fault.Conflict {
			h.Log.Warnf("did not start a new log: %v", err)
			return
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(bootstrapRetryInterval):
		}
	}
}

// collectVoters asks the peers for their identities and returns the voters of a
// new log.
func (h *Host) collectVoters(ctx context.Context) ([]raft.Member, error) {
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
			return nil, fault.New(fault.Conflict, "add this host with 'quayctl control add' and 'promote'", "control host %s is already a member of a log", p.Name)
		}
		members = append(members, raft.Member{ID: id.ID, Name: p.Name, Addr: p.Addr, Voter: true})
	}
	return members, nil
}

func (h *Host) startLog(ctx context.Context, members []raft.Member) error {
	answer := make(chan error, 1)
	if err := h.enqueue(ctx, func(now time.Duration) { answer <- h.engine.startLog(now, members) }); err != nil {
		return err
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View is the state of the log that is needed to decide on membership changes.
type View struct {
	Self       raft.ID
	Leads      bool
	Membership raft.Membership
	CaughtUp   map[raft.ID]bool // on the leader: members that can become voters without a pause in commits
}

// View returns the state of the log as this host knows it.
func (h *Host) View() View {
	p := h.status.Load()
	return View{
		Self: p.status.ID, Membership: p.members, CaughtUp: p.status.CaughtUp,
		Leads: p.status.Role == raft.Leader && p.blocked == nil,
	}
}
