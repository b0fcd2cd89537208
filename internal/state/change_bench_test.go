package state_test

import (
	"fmt"
	"testing"

	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// BenchmarkChangeWith1800Services applies one change to a tree of 1,800
// services. Control hosts apply changes in the loop of the replicated log, so a
// slow change delays heartbeats.
func BenchmarkChangeWith1800Services(b *testing.B) {
	s := state.New()
	var ops []settings.Op
	for i := range 1800 {
		ops = append(ops, set(fmt.Sprintf("/svc-%d", i), settings.ServiceZones, `["rvk-a"]`))
	}
	if r := s.Apply(1, state.Command{Change: &state.Change{ID: "services", Ops: ops}}); r.Err != nil {
		b.Fatal(r.Err)
	}
	revision := uint64(1)
	for b.Loop() {
		revision++
		c := &state.Change{ID: fmt.Sprint(revision), Ops: []settings.Op{set("/", settings.RequestQueue, fmt.Sprint(revision%100))}}
		if r := s.Apply(revision, state.Command{Change: c}); r.Err != nil {
			b.Fatal(r.Err)
		}
	}
}
