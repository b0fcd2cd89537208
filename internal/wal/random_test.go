package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"greengagequay/internal/raft"
)

const (
	randomOperations  = 120
	minSegmentBytes   = 120
	segmentBytesRange = 500
)

// randomRun plays random operations on a log, with crashes, restarts and a full disk,
// and compares it with the model after each restart.
type randomRun struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand
	disk   *fakeDisk
	log    *Log
	states []raft.Restored // states that the log may be in; they differ in what a failed snapshot left
	steps  []string
}

// Guards against logs that recovery refuses, or reads wrongly, after some order of
// appended and replaced entries, snapshots, installed snapshots, crashes and full disks.
func TestRandomWorkloads(t *testing.T) {
	for seed := range uint64(*seeds * 25) {
		r := &randomRun{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), disk: newFakeDisk(), states: []raft.Restored{{}}}
		r.open()
		for range randomOperations {
			r.step()
		}
	}
}

// step plays one operation, at times with a crash or a full disk in it.
func (r *randomRun) step() {
	r.disk.opsUntilCrash, r.disk.opsUntilFull = -1, -1
	switch r.rand.IntN(12) {
	case 0:
		r.disk.opsUntilCrash = 1 + r.rand.IntN(12)
	case 1:
		r.disk.opsUntilFull = 1 + r.rand.IntN(6)
	}
	switch r.rand.IntN(10) {
	case 0, 1:
		r.saveSnapshot()
	case 2:
		r.install()
	case 3:
		r.restart()
	default:
		r.save()
	}
}

// view returns the state with the latest snapshot, its commit index, and its last index.
func (r *randomRun) view() (state raft.Restored, commit, last uint64) {
	state = r.states[len(r.states)-1]
	if state.Snapshot != nil {
		last = state.Snapshot.Index
	}
	commit = max(state.HardState.Commit, last)
	return state, commit, last + uint64(len(state.Entries))
}

// save appends entries, or replaces those of an earlier term from any index above the
// commit index on, or saves only the hard state.
func (r *randomRun) save() {
	state, commit, last := r.view()
	hs := raft.HardState{Term: max(state.HardState.Term, 1), Commit: commit}
	from, to := last+1, last+uint64(r.rand.IntN(5))
	if last > commit && r.rand.IntN(3) == 0 {
		hs.Term++
		from = commit + 1 + r.rand.Uint64N(last-commit)
		to = from + uint64(r.rand.IntN(5))
		last = from - 1
	}
	if end := max(last, to); r.rand.IntN(2) == 0 && end > commit {
		hs.Commit += r.rand.Uint64N(end - commit + 1)
	}
	es := entries(hs.Term, from, to)
	r.play(fmt.Sprintf("save %d to %d, %+v", from, to, hs), true, func() error { return r.log.Save(hs, es) },
		func(m *model) { m.save(hs, es) })
}

// saveSnapshot saves a snapshot of any committed entry after the last snapshot.
func (r *randomRun) saveSnapshot() {
	state, commit, last := r.view()
	base := last - uint64(len(state.Entries))
	if commit <= base {
		return
	}
	e := state.Entries[r.rand.Uint64N(commit-base)]
	s := raft.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("state")}
	r.play(fmt.Sprintf("snapshot at %d", s.Index), false, func() error { return r.log.SaveSnapshot(s) },
		func(m *model) { m.snapshot(s, false) })
}

// install replaces the log with a snapshot of a later term above the commit index.
func (r *randomRun) install() {
	state, commit, last := r.view()
	term := state.HardState.Term + 1
	s := raft.Snapshot{Index: commit + 1 + r.rand.Uint64N(last-commit+4), Term: term, Data: []byte("installed")}
	hs := raft.HardState{Term: term, Commit: s.Index}
	r.play(fmt.Sprintf("install %d of term %d", s.Index, term), true, func() error { return r.log.Install(s, hs) },
		func(m *model) { m.snapshot(s, true) }, // the snapshot is on the disk, but not the reset
		func(m *model) { m.snapshot(s, true); m.current.HardState = hs })
}

// play runs an operation, which leaves one of the changed states if it fails and the
// last one if it succeeds. It repeats one that a full disk kept from succeeding.
func (r *randomRun) play(step string, repeat bool, operation func() error, changes ...func(*model)) {
	r.steps = append(r.steps, step)
	possible := slices.Clone(r.states)
	var done []raft.Restored
	for i, change := range changes {
		for _, state := range r.states {
			m := &model{current: state}
			change(m)
			possible = append(possible, m.current)
			if i == len(changes)-1 {
				done = append(done, m.current)
			}
		}
	}
	err := operation()
	for repeat && err != nil && !errors.Is(err, errCrash) && r.log.Failed() == nil {
		r.disk.opsUntilFull = -1
		err = operation()
	}
	if err == nil {
		r.states = done
		return
	}
	r.states = possible
	if errors.Is(err, errCrash) || r.log.Failed() != nil {
		r.crash()
	}
}

// restart closes the log, or crashes, and opens it.
func (r *randomRun) restart() {
	if r.rand.IntN(2) == 0 {
		r.steps = append(r.steps, "close")
		if r.log.Close() == nil {
			r.disk.opsUntilFull = -1
			r.open()
			return
		}
	}
	r.crash()
}

func (r *randomRun) crash() {
	r.steps = append(r.steps, "crash")
	r.disk.opsUntilFull = -1
	r.disk.crash(r.rand)
	r.open()
}

// open opens the log, sometimes with further crashes meanwhile, and requires one of
// the states that the model allows.
func (r *randomRun) open() {
	for {
		r.disk.opsUntilCrash = -1
		if r.rand.IntN(3) == 0 {
			r.disk.opsUntilCrash = 1 + r.rand.IntN(6)
		}
		l, stored, err := Open(r.disk, newID)
		if errors.Is(err, errCrash) {
			r.disk.crash(r.rand)
			continue
		}
		if err != nil {
			r.t.Fatalf("seed %d: %v\n%s", r.seed, err, strings.Join(r.steps, "\n"))
		}
		r.disk.opsUntilCrash = -1
		r.log = l
		l.LimitSegments(int64(minSegmentBytes + r.rand.IntN(segmentBytesRange)))
		r.compare(stored.Restored)
		return
	}
}

func (r *randomRun) compare(got raft.Restored) {
	var allowed []string
	for _, state := range r.states {
		allowed = append(allowed, describe(state))
	}
	if !slices.Contains(allowed, describe(got)) {
		r.t.Fatalf("seed %d:\ngot  %s\nwant %s\n%s", r.seed, describe(got), strings.Join(allowed, "\n or  "), strings.Join(r.steps, "\n"))
	}
	r.states = []raft.Restored{got}
}
