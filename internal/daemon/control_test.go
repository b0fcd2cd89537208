package daemon

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/control"
	"greengagequay/internal/fault"
	"greengagequay/internal/logs"
	"greengagequay/internal/loopback"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// controlCluster is a cluster of three control hosts on loopback.
type controlCluster struct {
	c     *qt.C
	ctx   context.Context
	hosts []*Daemon
}

func startControlCluster(c *qt.C) *controlCluster {
	anyPort := loopback.AnyPort()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.Cleanup(cancel)
	t := &controlCluster{c: c, ctx: ctx}
	var bounds []*Bound
	var peers []config.Peer
	var seeds []string
	for i := range 3 {
		b, err := Bind(config.Config{
			Name: fmt.Sprintf("host-%d", i), Zone: "rvk-a", Roles: []config.Role{config.Control}, Data: c.TempDir(), Bootstrap: true,
			RPC: anyPort, API: anyPort, Gossip: anyPort, Log: config.Log{Level: "warn", Format: "text"},
		})
		c.Assert(err, qt.IsNil)
		bounds = append(bounds, b)
		peers = append(peers, config.Peer{Name: b.Config.Name, RPC: b.Config.RPC})
		seeds = append(seeds, b.Config.Gossip)
	}
	for _, b := range bounds {
		b.Config.Control = peers
		b.Config.Seeds = seeds
		t.hosts = append(t.hosts, t.start(b))
	}
	c.Cleanup(func() {
		for _, d := range t.hosts {
			d.Kill()
		}
	})
	return t
}

func (t *controlCluster) start(b *Bound) *Daemon {
	d, err := Start(b, logs.Discard(), clock.Real{})
	t.c.Assert(err, qt.IsNil)
	return d
}

// restart starts a stopped host again on the same ports.
func (t *controlCluster) restart(i int) {
	b, err := Bind(t.hosts[i].Config)
	t.c.Assert(err, qt.IsNil)
	t.hosts[i] = t.start(b)
}

// commitChange commits a change through a host and waits until it is in force there.
func (t *controlCluster) commitChange(via int, id string) state.Result {
	d := t.hosts[via]
	ops := []settings.Op{{Action: settings.Set, Path: "/", Key: settings.RequestQueue, Value: "9"}}
	result, err := d.Submit(t.ctx, state.Change{ID: id, Ops: ops})
	t.c.Assert(err, qt.IsNil)
	t.c.Assert(result.Err == nil, qt.IsTrue)
	t.waitForRevision(via, result.Revision)
	return result
}

func (t *controlCluster) waitForRevision(host int, revision uint64) {
	for {
		changed := t.hosts[host].Replica.Changed()
		if t.hosts[host].Replica.Revision() >= revision {
			return
		}
		select {
		case <-changed:
		case <-t.ctx.Done():
			t.c.Fatalf("revision %d is not in force on host %d", revision, host)
		}
	}
}

// leader returns the index of the leading host.
func (t *controlCluster) leader() int {
	t.c.Assert(t.hosts[0].controlHost.Current(t.ctx), qt.IsNil)
	addr, _ := t.hosts[0].controlHost.Leader()
	return slices.IndexFunc(t.hosts, func(d *Daemon) bool { return d.Config.RPC == addr })
}

func (t *controlCluster) changeMember(via int, action control.Action, name, addr string) {
	for {
		_, err := t.hosts[via].ChangeControlMember(t.ctx, control.MemberChange{Action: action, Name: name, Addr: addr})
		if err == nil {
			return
		}
		t.c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable, qt.Commentf("%v", err))
	}
}

func TestChangesThroughAnyControlHost(t *testing.T) {
	c := qt.New(t)
	tr := startControlCluster(c)
	first := tr.commitChange(0, "first")
	for i := range 3 {
		repeated := tr.commitChange(i, "first")
		c.Assert(repeated.Revision, qt.Equals, first.Revision)
		c.Assert(repeated.Repeated, qt.IsTrue)
	}
	lead := tr.leader()
	c.Assert(tr.hosts[lead].Stop(tr.ctx), qt.IsNil) // transfers the leadership
	other := (lead + 1) % 3
	tr.commitChange(other, "second")
	tr.restart(lead)
	tr.waitForRevision(lead, tr.hosts[other].Replica.Revision())
	_, err := tr.hosts[lead].Backup(tr.ctx)
	c.Assert(err, qt.IsNil)
}

// The first control host loses its disk. It must not start a second log, even
// though its settings say bootstrap, and rejoins as a learner.
func TestLostDiskRejoinsAsLearner(t *testing.T) {
	c := qt.New(t)
	tr := startControlCluster(c)
	tr.commitChange(0, "first")
	tr.hosts[0].Kill()
	c.Assert(os.RemoveAll(tr.hosts[0].Config.Data), qt.IsNil)
	second := tr.commitChange(1, "second")
	tr.restart(0)
	name, addr := tr.hosts[0].Config.Name, tr.hosts[0].Config.RPC
	current, _, _ := tr.hosts[0].Freshness()
	c.Assert(current, qt.IsFalse)
	short, cancel := context.WithTimeout(tr.ctx, 50*time.Millisecond)
	defer cancel()
	c.Assert(fault.KindOf(tr.hosts[0].controlHost.Current(short)), qt.Equals, fault.NotCurrent)
	c.Assert(tr.hosts[0].Replica.Revision(), qt.Equals, uint64(0))
	_, err := tr.hosts[1].ChangeControlMember(tr.ctx, control.MemberChange{Action: control.Add, Name: name, Addr: addr})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict) // the identity from the lost disk is still a member
	tr.changeMember(1, control.Remove, name, "")
	tr.changeMember(1, control.Add, name, addr)
	tr.waitForRevision(0, second.Revision)
	tr.changeMember(1, control.Promote, name, "")
	tr.hosts[2].Kill() // a second host fails right after the repair of the first
	third := tr.commitChange(0, "third")
	tr.waitForRevision(1, third.Revision)
	tr.restart(2)
	list, err := tr.hosts[0].ControlMembers(tr.ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 3)
}

func TestCutOffHostIsNotCurrent(t *testing.T) {
	c := qt.New(t)
	tr := startControlCluster(c)
	tr.commitChange(0, "first")
	tr.hosts[1].Kill()
	tr.hosts[2].Kill()
	short, cancel := context.WithTimeout(tr.ctx, 1500*time.Millisecond)
	defer cancel()
	_, err := tr.hosts[0].Submit(short, state.Change{ID: "lost"})
	c.Assert(err, qt.IsNotNil)
	current, age, known := tr.hosts[0].Freshness()
	c.Assert(current, qt.IsFalse)
	c.Assert(known, qt.IsTrue)
	c.Assert(age > time.Second, qt.IsTrue)
	_, leads := tr.hosts[0].controlHost.Leader()
	c.Assert(leads, qt.IsFalse)
	tr.restart(1)
	tr.restart(2)
	tr.commitChange(0, "second")
}
