package reconfig

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/raft"
)

// dataFolder is the data folder of a host.
type dataFolder struct {
	id          raft.ID
	unreachable bool
	entries     int // number of entries that the folder holds
}

// simulation models a log whose membership follows the rules of this package.
// It tracks how many entries each data folder holds and how many were
// acknowledged.
type simulation struct {
	membership raft.Membership
	folders    []dataFolder // current data folder of each host
	leader     raft.ID
	committed  int // number of acknowledged entries
	nextID     raft.ID
}

// Sizes of the simulation.
const (
	hostCount     = 6
	initialVoters = 3 // number of voters at the start, and their target number
)

func newSimulation() *simulation {
	sim := &simulation{leader: 1, nextID: 1}
	for range hostCount {
		sim.folders = append(sim.folders, dataFolder{id: sim.newID()})
	}
	for i := range initialVoters {
		sim.membership.Members = append(sim.membership.Members, member(int(sim.folders[i].id), true))
	}
	return sim
}

// newID returns an ID for a new data folder.
func (sim *simulation) newID() raft.ID {
	sim.nextID++
	return sim.nextID - 1
}

func (sim *simulation) addr(host int) string { return member(host+1, false).Addr }

func (sim *simulation) find(id raft.ID) *dataFolder {
	for i := range sim.folders {
		if sim.folders[i].id == id {
			return &sim.folders[i]
		}
	}
	return nil
}

// isReachable reports whether the folder exists and its host is reachable.
func (sim *simulation) isReachable(id raft.ID) bool {
	f := sim.find(id)
	return f != nil && !f.unreachable
}

// electLeader reports whether a quorum of voters is reachable. If the leader is
// not reachable or not a voter, it elects a voter that has all acknowledged
// entries.
func (sim *simulation) electLeader() bool {
	reachable := 0
	candidate := raft.ID(0)
	for _, id := range sim.membership.Voters() {
		if !sim.isReachable(id) {
			continue
		}
		reachable++
		if sim.find(id).entries >= sim.committed {
			candidate = id
		}
	}
	if reachable < sim.membership.Quorum() {
		return false
	}
	if !sim.isReachable(sim.leader) || !sim.membership.IsVoter(sim.leader) {
		sim.leader = candidate
	}
	return true
}

// commit acknowledges one more entry, stored only by as many voters as a quorum
// needs.
func (sim *simulation) commit() {
	sim.find(sim.leader).entries = sim.committed + 1
	holders := 1
	for _, id := range sim.membership.Voters() {
		if id != sim.leader && sim.isReachable(id) && holders < sim.membership.Quorum() {
			sim.find(id).entries = sim.committed + 1
			holders++
		}
	}
	sim.committed++
}

func (sim *simulation) clusterState() ClusterState {
	s := ClusterState{
		Self: sim.leader, Membership: sim.membership, TargetVoters: initialVoters,
		UnreachableFor: map[raft.ID]time.Duration{}, CaughtUp: map[raft.ID]bool{},
	}
	for i, f := range sim.folders {
		if !f.unreachable {
			s.Hosts = append(s.Hosts, Host{ID: f.id, Addr: sim.addr(i), Zone: sim.addr(i)})
		}
	}
	for _, m := range sim.membership.Members {
		if !sim.isReachable(m.ID) {
			s.UnreachableFor[m.ID] = time.Minute
			continue
		}
		s.CaughtUp[m.ID] = sim.find(m.ID).entries >= sim.committed
	}
	return s
}

// changeMembership applies the next change that the rules ask for. A change is
// a log entry, so a quorum of the resulting voters must be reachable.
func (sim *simulation) changeMembership(c *qt.C) {
	before := sim.clusterState()
	change, due := Next(before)
	if !due {
		return
	}
	sim.checkChange(c, before, change)
	sim.membership = applyChange(c, before, change).Membership
	c.Assert(sim.electLeader(), qt.IsTrue, qt.Commentf("%v leaves no reachable quorum", change))
	sim.commit()
}

// checkChange fails if a change could affect concurrent commits. A change may
// add only reachable hosts, promote only caught-up learners while voters are
// missing, and remove only unreachable members; a removed voter must have a
// replacement.
func (sim *simulation) checkChange(c *qt.C, s ClusterState, change Change) {
	comment := qt.Commentf("%v", change)
	id := change.Member.ID
	switch change.Action {
	case Add:
		c.Assert(sim.isReachable(id), qt.IsTrue, comment)
	case Promote:
		c.Assert(sim.isReachable(id) && s.CaughtUp[id], qt.IsTrue, comment)
		c.Assert(len(sim.membership.Voters()) < initialVoters, qt.IsTrue, comment)
	case Remove:
		c.Assert(sim.isReachable(id), qt.IsFalse, comment)
		replaced := sim.find(id) == nil && sim.addrReachable(change.Member.Addr)
		c.Assert(!change.Member.Voter || replaced || len(s.promotableLearners()) > 0, qt.IsTrue, comment)
	}
}

// addrReachable reports whether the host at the address is reachable.
func (sim *simulation) addrReachable(addr string) bool {
	for i, f := range sim.folders {
		if sim.addr(i) == addr {
			return !f.unreachable
		}
	}
	return false
}

// Events of the simulation. A byte encodes an event in its upper bits and a
// host in its lower three bits.
const (
	disconnectHost = iota
	reconnectHost
	loseDisk
	catchUp
	commitEntry
	applyNextChange
	eventCount
)

func (sim *simulation) applyEvent(c *qt.C, b byte) {
	f := &sim.folders[int(b%8)%hostCount]
	switch b / 8 % eventCount {
	case disconnectHost:
		f.unreachable = true
	case reconnectHost:
		f.unreachable = false
	case loseDisk:
		*f = dataFolder{id: sim.newID(), unreachable: f.unreachable}
	case catchUp:
		if sim.electLeader() && !f.unreachable {
			f.entries = sim.committed
		}
	case commitEntry:
		if sim.electLeader() {
			sim.commit()
		}
	case applyNextChange:
		if sim.electLeader() {
			sim.changeMembership(c)
		}
	}
}

// checkInvariants fails if voters without an acknowledged entry could elect a
// leader, or if two members have the same address.
func (sim *simulation) checkInvariants(c *qt.C, event int) {
	lacking := 0
	for _, id := range sim.membership.Voters() {
		if f := sim.find(id); f != nil && f.entries < sim.committed {
			lacking++
		}
	}
	c.Assert(lacking < sim.membership.Quorum(), qt.IsTrue, qt.Commentf("event %d: %d voters of %v lack an acknowledged entry", event, lacking, sim.membership))
	addrs := map[string]bool{}
	for _, m := range sim.membership.Members {
		c.Assert(addrs[m.Addr], qt.IsFalse, qt.Commentf("event %d: two members have the address %s", event, m.Addr))
		addrs[m.Addr] = true
	}
}

func runEvents(t *testing.T, data []byte) {
	c := qt.New(t)
	sim := newSimulation()
	for i, b := range data {
		sim.applyEvent(c, b)
		sim.checkInvariants(c, i)
	}
	sim.healAndCheck(c)
}

// healAndCheck makes all hosts reachable and lets all data folders catch up. If
// there is a quorum, the rules must then reach the target number of voters and
// add all hosts.
func (sim *simulation) healAndCheck(c *qt.C) {
	for i := range sim.folders {
		sim.folders[i].unreachable = false
	}
	if !sim.electLeader() {
		return // too many disks were lost
	}
	const maxChanges = 10 * hostCount
	for range maxChanges {
		for i := range sim.folders {
			sim.folders[i].entries = sim.committed
		}
		sim.changeMembership(c)
	}
	_, due := Next(sim.clusterState())
	c.Assert(due, qt.IsFalse)
	c.Assert(reachableVoters(sim.clusterState()) >= initialVoters, qt.IsTrue, qt.Commentf("%v", sim.membership))
	c.Assert(sim.membership.Members, qt.HasLen, hostCount)
}

// Changes by the rules must never lose an acknowledged entry, whichever disks
// are lost and whichever hosts become unreachable and reachable again.
func TestRulesKeepAcknowledgedEntries(t *testing.T) {
	const maxEvents = 120 // enough to lose each disk several times
	for seed := range uint64(5000) {
		random := rand.NewPCG(seed, 11)
		data := make([]byte, random.Uint64()%maxEvents)
		for i := range data {
			data[i] = byte(random.Uint64())
		}
		runEvents(t, data)
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte{8 * loseDisk, 8 * applyNextChange, 8 * catchUp, 8 * applyNextChange, 8 * commitEntry})
	f.Add([]byte{1 + 8*disconnectHost, 3 + 8*applyNextChange, 3 + 8*catchUp, 8 * commitEntry, 8 * applyNextChange, 1 + 8*reconnectHost, 8 * applyNextChange})
	f.Fuzz(runEvents)
}
