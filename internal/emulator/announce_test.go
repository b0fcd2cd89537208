package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
)

// sees reports whether the tables of all running hosts hold the backend
// server in the state.
func sees(f *Fleet, id string, want model.BackendState) func() bool {
	return func() bool {
		for _, i := range f.Running() {
			found := false
			for _, b := range f.Host(i).Replica.Table().Backends {
				found = found || (b.ID == id && b.State == want)
			}
			if !found {
				return false
			}
		}
		return true
	}
}

// A drain, a lapse and a return reach the tables of all hosts. The log tells
// how long each took.
func TestAnnouncementsReachAllHosts(t *testing.T) {
	c := qt.New(t)
	ctx, f, _ := start(t)
	b := f.Backends[1]
	for _, state := range []model.BackendState{model.Draining, model.Ready} {
		begin := time.Now()
		c.Assert(b.SetState(ctx, state), qt.IsNil)
		c.Assert(f.WaitFor(ctx, sees(f, b.ID, state)), qt.IsNil)
		t.Logf("%s in all tables after %v", state, time.Since(begin).Round(time.Millisecond))
	}
	begin := time.Now()
	f.Backends[2].Close() // falls silent, and its connections are refused
	c.Assert(f.WaitFor(ctx, func() bool { return !sees(f, f.Backends[2].ID, model.Ready)() }), qt.IsNil)
	t.Logf("silent backend server out of a table after %v", time.Since(begin).Round(time.Millisecond))
}
