package council

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/raft"
)

// folder is the data folder of a host.
type folder struct {
	id      raft.ID
	away    bool
	entries int // that it holds
}

// world is a model of a log whose members follow the rules: which folder holds
// which entries, and how many entries were acknowledged.
type world struct {
	membership raft.Membership
	places     []folder // the present folder of each host
	leader     raft.ID
	committed  int
	nextID     raft.ID
}

// Sizes of the model.
const (
	hosts   = 6
	founded = 3 // of them are voters at first
)

func newWorld() *world {
	w := &world{leader: 1, nextID: 1}
	for range hosts {
		w.places = append(w.places, folder{id: w.newID()})
	}
	for i := range founded {
		w.membership.Members = append(w.membership.Members, member(int(w.places[i].id), true))
	}
	return w
}

// newID returns the identity of a new folder.
func (w *world) newID() raft.ID {
	w.nextID++
	return w.nextID - 1
}

func (w *world) addr(place int) string { return member(place+1, false).Addr }

func (w *world) find(id raft.ID) *folder {
	for i := range w.places {
		if w.places[i].id == id {
			return &w.places[i]
		}
	}
	return nil
}

// inTouch reports whether the folder exists and its host is reachable.
func (w *world) inTouch(id raft.ID) bool {
	f := w.find(id)
	return f != nil && !f.away
}

// quorum reports whether enough voters are in touch for a leader, and sees to
// it that one with all acknowledged entries leads.
func (w *world) quorum() bool {
	reachable := 0
	candidate := raft.ID(0)
	for _, id := range w.membership.Voters() {
		if !w.inTouch(id) {
			continue
		}
		reachable++
		if w.find(id).entries >= w.committed {
			candidate = id
		}
	}
	if reachable < w.membership.Quorum() {
		return false
	}
	if !w.inTouch(w.leader) || !w.membership.IsVoter(w.leader) {
		w.leader = candidate
	}
	return true
}

// commit acknowledges one more entry, held by as few voters as may be.
func (w *world) commit() {
	w.find(w.leader).entries = w.committed + 1
	holders := 1
	for _, id := range w.membership.Voters() {
		if id != w.leader && w.inTouch(id) && holders < w.membership.Quorum() {
			w.find(id).entries = w.committed + 1
			holders++
		}
	}
	w.committed++
}

func (w *world) situation() Situation {
	s := Situation{
		Self: w.leader, Membership: w.membership, Voters: founded,
		Unseen: map[raft.ID]time.Duration{}, CaughtUp: map[raft.ID]bool{},
	}
	for i, f := range w.places {
		if !f.away {
			s.Hosts = append(s.Hosts, Host{ID: f.id, Addr: w.addr(i), Zone: w.addr(i)})
		}
	}
	for _, m := range w.membership.Members {
		if !w.inTouch(m.ID) {
			s.Unseen[m.ID] = time.Minute
			continue
		}
		s.CaughtUp[m.ID] = w.find(m.ID).entries >= w.committed
	}
	return s
}

// change lets the leader do what the rules say next. A change is an entry, so
// it needs a quorum of the voters that it leaves.
func (w *world) change(c *qt.C) {
	before := w.situation()
	step, due := Next(before)
	if !due {
		return
	}
	w.checkStep(c, before, step)
	w.membership = apply(c, before, step).Membership
	c.Assert(w.quorum(), qt.IsTrue, qt.Commentf("%v leaves no quorum in touch", step))
	w.commit()
}

// checkStep checks what a step may do to commits that go on beside it.
func (w *world) checkStep(c *qt.C, s Situation, step Step) {
	comment := qt.Commentf("%v", step)
	id := step.Member.ID
	switch step.Verb {
	case Add:
		c.Assert(w.inTouch(id), qt.IsTrue, comment)
	case Promote:
		c.Assert(w.inTouch(id) && s.CaughtUp[id], qt.IsTrue, comment)
		c.Assert(len(w.membership.Voters()) < founded, qt.IsTrue, comment)
	case Remove:
		c.Assert(w.inTouch(id), qt.IsFalse, comment)
		replaced := w.find(id) == nil && w.reachable(step.Member.Addr)
		c.Assert(!step.Member.Voter || replaced || len(s.ready()) > 0, qt.IsTrue, comment)
	}
}

// reachable reports whether a host answers at the address.
func (w *world) reachable(addr string) bool {
	for i, f := range w.places {
		if w.addr(i) == addr {
			return !f.away
		}
	}
	return false
}

// Events of the model, by the upper bits of a byte; the lower ones name a host.
const (
	goAway = iota
	comeBack
	loseDisk
	catchUp
	acknowledge
	follow
	events
)

func (w *world) event(c *qt.C, b byte) {
	f := &w.places[int(b%8)%hosts]
	switch b / 8 % events {
	case goAway:
		f.away = true
	case comeBack:
		f.away = false
	case loseDisk:
		*f = folder{id: w.newID(), away: f.away}
	case catchUp:
		if w.quorum() && !f.away {
			f.entries = w.committed
		}
	case acknowledge:
		if w.quorum() {
			w.commit()
		}
	case follow:
		if w.quorum() {
			w.change(c)
		}
	}
}

// check fails if hosts without an acknowledged entry could elect a leader, or if
// an address stands for two members.
func (w *world) check(c *qt.C, step int) {
	lacking := 0
	for _, id := range w.membership.Voters() {
		if f := w.find(id); f != nil && f.entries < w.committed {
			lacking++
		}
	}
	c.Assert(lacking < w.membership.Quorum(), qt.IsTrue, qt.Commentf("step %d: %d of %v lack an entry", step, lacking, w.membership))
	addrs := map[string]bool{}
	for _, m := range w.membership.Members {
		c.Assert(addrs[m.Addr], qt.IsFalse, qt.Commentf("step %d: two members at %s", step, m.Addr))
		addrs[m.Addr] = true
	}
}

func play(t *testing.T, data []byte) {
	c := qt.New(t)
	w := newWorld()
	for i, b := range data {
		w.event(c, b)
		w.check(c, i)
	}
	w.heal(c)
}

// heal brings all hosts back. The rules must end with as many voters as wanted,
// if there is a quorum at all.
func (w *world) heal(c *qt.C) {
	for i := range w.places {
		w.places[i].away = false
	}
	if !w.quorum() {
		return // more disks were lost than may be
	}
	const enough = 10 * hosts // steps
	for range enough {
		for i := range w.places {
			w.places[i].entries = w.committed
		}
		w.change(c)
	}
	_, due := Next(w.situation())
	c.Assert(due, qt.IsFalse)
	c.Assert(inTouch(w.situation()) >= founded, qt.IsTrue, qt.Commentf("%v", w.membership))
	c.Assert(w.membership.Members, qt.HasLen, hosts)
}

// No acknowledged entry can be lost by following the rules, whatever is lost,
// goes away and comes back.
func TestRulesKeepAcknowledgedEntries(t *testing.T) {
	const most = 120 // events; each disk is lost several times in the longest
	for seed := range uint64(5000) {
		random := rand.NewPCG(seed, 11)
		data := make([]byte, random.Uint64()%most)
		for i := range data {
			data[i] = byte(random.Uint64())
		}
		play(t, data)
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte{8 * loseDisk, 8 * follow, 8 * catchUp, 8 * follow, 8 * acknowledge})
	f.Add([]byte{1 + 8*goAway, 3 + 8*follow, 3 + 8*catchUp, 8 * acknowledge, 8 * follow, 1 + 8*comeBack, 8 * follow})
	f.Fuzz(play)
}
