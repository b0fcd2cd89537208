package emulator

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
)

// limit bounds the run time of each test. It is not a performance target.
const limit = 2 * time.Minute

const flowsPerService = 100

var testHosts = []HostSpec{
	{Name: "rvk-a-1", Zone: "rvk-a", Control: true},
	{Name: "rvk-a-2", Zone: "rvk-a"},
	{Name: "rvk-b-1", Zone: "rvk-b", Control: true},
	{Name: "rvk-b-2", Zone: "rvk-b"},
	{Name: "rvk-c-1", Zone: "rvk-c", Control: true},
}

var testServices = []ServiceSpec{
	{Name: "pantanir", Address: netip.MustParseAddrPort("203.0.113.10:443"), Backends: 4, Slots: 3},
	{Name: "myndir", Address: netip.MustParseAddrPort("203.0.113.20:443"), Backends: 2, Slots: 3},
}

// start starts a system with open flows to every service.
func start(t *testing.T) (context.Context, *Fleet, *Callers) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	callers, err := NewCallers(1)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(callers.Close)
	f, err := Start(testHosts, testServices, callers.Address())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Close)
	callers.SetEntries(f.Entries)
	qt.Assert(t, f.CreateServices(ctx, 1), qt.IsNil)
	qt.Assert(t, f.WaitPlaced(ctx), qt.IsNil)
	for _, s := range testServices {
		callers.Open(s.Address, flowsPerService)
	}
	qt.Assert(t, callers.AwaitAnswers(ctx), qt.IsNil)
	return ctx, f, callers
}

// useFlows sends a packet on every flow and returns how many flows have broken.
func useFlows(t *testing.T, ctx context.Context, c *Callers) (broken int) {
	c.SendData()
	qt.Assert(t, c.AwaitAnswers(ctx), qt.IsNil)
	_, broken = c.Counts()
	return broken
}

func misdelivered(f *Fleet) (n int) {
	for _, b := range f.Backends {
		n += b.Packets.Counts().Misdelivered
	}
	return n
}

func TestRollingRestartDuringADrainBreaksNoFlow(t *testing.T) {
	c := qt.New(t)
	ctx, f, callers := start(t)
	c.Assert(f.Backends[0].SetState(ctx, model.Draining), qt.IsNil)
	for i := range testHosts {
		c.Assert(f.Restart(ctx, i), qt.IsNil)
		c.Assert(useFlows(t, ctx, callers), qt.Equals, 0, qt.Commentf("after restart of %s", testHosts[i].Name))
		callers.Open(testServices[0].Address, flowsPerService/5)
		c.Assert(useFlows(t, ctx, callers), qt.Equals, 0)
	}
	c.Assert(misdelivered(f), qt.Equals, 0)
}

func TestLossOfOneHostThenAnotherBreaksNoFlow(t *testing.T) {
	c := qt.New(t)
	ctx, f, callers := start(t)
	c.Assert(f.Backends[0].SetState(ctx, model.Draining), qt.IsNil)
	callers.Open(testServices[0].Address, flowsPerService)
	c.Assert(useFlows(t, ctx, callers), qt.Equals, 0)
	for _, i := range []int{1, 3} {
		f.Kill(i)
		c.Assert(useFlows(t, ctx, callers), qt.Equals, 0, qt.Commentf("after loss of %s", testHosts[i].Name))
		c.Assert(f.StartAgain(ctx, i), qt.IsNil)
		c.Assert(useFlows(t, ctx, callers), qt.Equals, 0)
	}
	c.Assert(misdelivered(f), qt.Equals, 0)
}

func TestLostBackendServerBreaksItsOwnFlowsOnly(t *testing.T) {
	c := qt.New(t)
	ctx, f, callers := start(t)
	lost := f.Backends[0]
	own := lost.Packets.Counts().Open
	c.Assert(lost.SetState(ctx, model.Gone), qt.IsNil)
	lost.Close()
	c.Assert(f.WaitFor(ctx, func() bool { return useFlows(t, ctx, callers) >= own }), qt.IsNil)
	c.Assert(useFlows(t, ctx, callers), qt.Equals, own)
	c.Assert(callers.Unanswered(), qt.Equals, 0) // each flow was reset
}

// The hosts that a backend server announces itself to may be down for a while. A
// backend server whose announcements have stopped but which hosts still reach
// becomes draining: it gets no new flows, and keeps its existing ones.
func TestLapsedAnnouncementBreaksNoFlow(t *testing.T) {
	c := qt.New(t)
	ctx, f, callers := start(t)
	b := f.Backends[0]
	b.SetMuted(true)
	c.Assert(f.WaitFor(ctx, func() bool { return !allTablesHold(f, b.ID, model.Ready)() }), qt.IsNil)
	c.Assert(f.WaitFor(ctx, allTablesHold(f, b.ID, model.Draining)), qt.IsNil)
	c.Assert(useFlows(t, ctx, callers), qt.Equals, 0)
	b.SetMuted(false)
	c.Assert(f.WaitFor(ctx, allTablesHold(f, b.ID, model.Ready)), qt.IsNil)
	c.Assert(useFlows(t, ctx, callers), qt.Equals, 0)
}

// A backend server whose announcements have stopped and which hosts cannot reach
// becomes gone, and its flows are reset.
func TestDeadBackendServerIsGone(t *testing.T) {
	c := qt.New(t)
	ctx, f, callers := start(t)
	dead := f.Backends[0]
	own := dead.Packets.Counts().Open
	dead.Close()
	c.Assert(f.WaitFor(ctx, allTablesHold(f, dead.ID, model.Gone)), qt.IsNil)
	c.Assert(useFlows(t, ctx, callers), qt.Equals, own)
	c.Assert(callers.Unanswered(), qt.Equals, 0)
}

func TestAcceptedChangesOutliveControlHosts(t *testing.T) {
	c := qt.New(t)
	ctx, f, _ := start(t)
	last := ""
	for n, i := range []int{0, 2, 4} {
		f.Kill(i)
		last = fmt.Sprintf("%d", n+1)
		ops := []Op{SetOp("/", settings.RequestQueue, last)}
		res, err := f.Change(ctx, 1, "change-"+last, ops)
		c.Assert(err, qt.IsNil)
		c.Assert(f.StartAgain(ctx, i), qt.IsNil)
		c.Assert(f.WaitRevision(ctx, uint64(res.Revision), f.Running()...), qt.IsNil)
	}
	again, err := f.Change(ctx, 3, "change-1", []Op{SetOp("/", settings.RequestQueue, "1")})
	c.Assert(err, qt.IsNil)
	c.Assert(again.Repeated.Value, qt.IsTrue)
	for _, i := range f.Running() {
		c.Assert(f.Setting(i, "/", settings.RequestQueue), qt.Equals, last)
	}
}
