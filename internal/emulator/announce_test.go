package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
)

// allTablesHold returns a condition: the tables of all running hosts hold the
// backend server in the given state.
func allTablesHold(f *Fleet, id string, want model.BackendState) func() bool {
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

// A drain and its end reach the tables of all hosts. The loss of a backend server
// reaches the table of at least one host. The test logs how long each took.
func TestAnnouncementsReachAllHosts(t *testing.T) {
	c := qt.New(t)
	ctx, f, _ := start(t)
	b := f.Backends[1]
	for _, state := range []model.BackendState{model.Draining, model.Ready} {
		begin := time.Now()
		c.Assert(b.SetState(ctx, state), qt.IsNil)
		c.Assert(f.WaitFor(ctx, allTablesHold(f, b.ID, state)), qt.IsNil)
		t.Logf("%s in all tables after %v", state, time.Since(begin).Round(time.Millisecond))
	}
	begin := time.Now()
	f.Backends[2].Close() // it stops announcing itself and refuses connections
	c.Assert(f.WaitFor(ctx, func() bool { return !allTablesHold(f, f.Backends[2].ID, model.Ready)() }), qt.IsNil)
	t.Logf("lost backend server no longer ready in a table after %v", time.Since(begin).Round(time.Millisecond))
}
