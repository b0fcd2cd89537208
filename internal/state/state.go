// Package state is the replicated state machine: settings, document, evacuations,
// placement and the answers to changes. Every host applies the same commands in the same
// order and therefore has the same state at the same revision, which is the index
// of the last applied log entry. The package uses no I/O, no clock and no
// randomness.
package state

import (
	"fmt"
	"time"

	"greengagequay/internal/codec"
	"greengagequay/internal/document"
	"greengagequay/internal/evacuation"
	"greengagequay/internal/fault"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// maxHistory is the number of changes that are kept, so that a repeated
// submission gets the same answer.
const maxHistory = 20000

// Change is an operator's change of settings.
type Change struct {
	ID       string
	Base     uint64 // settings revision that the change is based on
	HasBase  bool   // if false, the change applies to any revision
	Author   string
	Message  string
	Time     time.Time
	Ops      []settings.Op
	Revision uint64 // set when the change is committed
}

// Command is the content of one entry of the log. Exactly one field is set. The
// empty command stands for an entry that only advances the revision.
type Command struct {
	Change    *Change
	Placement *table.Delta
	Document  *document.Document // replaces the current document if its version is higher
	Seed      uint64             // sets the seed of the flow hash if none is set yet
	// Evacuation starts or ends the evacuation of a zone.
	Evacuation *evacuation.Order `cbor:",omitempty"`
}

// Result is the answer to a command.
type Result struct {
	Revision uint64 // revision from which the command is in force
	Repeated bool   // an earlier submission of the same change was already applied
	Err      *fault.Error
	Changed  []Change // on a conflict, the changes after the base revision
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	Revision         uint64 // index of the last applied log entry
	SettingsRevision uint64 // revision of the last accepted change of settings
	Seed             uint64 // seed of the flow hash, which maps flows to buckets; 0 if not set yet
	Tree             settings.Tree
	Placement        *table.Placement
	Document         *document.Document // document with the highest version, nil if there is none yet
	Evacuations      evacuation.Set     // state of each zone that had an order
	history          []Change           // oldest first
	answers          map[string]uint64  // revisions of the changes in history, by change ID
	tableCache       tableCache
}

// New returns the empty state at revision 0.
func New() *State {
	return &State{Placement: table.NewPlacement(), answers: map[string]uint64{}}
}

// Encode returns the command in CBOR, as the log stores it.
func Encode(c Command) ([]byte, error) {
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// Decode parses a command that Encode returned.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return Command{}, fault.New(fault.Corrupt, "restore the data folder from a snapshot", "decode command: %w", err)
	}
	return c, nil
}

// Apply applies the command at the given revision, which must be larger than
// the state's revision. The state advances to it even if the command is refused.
func (s *State) Apply(revision uint64, c Command) Result {
	s.Revision = revision
	switch {
	case c.Seed != 0 && s.Seed == 0:
		s.Seed = c.Seed
	case c.Change != nil:
		return s.applyChange(revision, *c.Change)
	case c.Document != nil:
		s.applyDocument(c.Document)
	case c.Evacuation != nil:
		next, err := s.Evacuations.Apply(revision, *c.Evacuation)
		if err != nil {
			return Result{Revision: revision, Err: fault.From(err)}
		}
		s.Evacuations = next
	case c.Placement != nil:
		if !s.Placement.Apply(*c.Placement, revision) {
			return Result{Revision: revision, Err: fault.New(fault.Conflict, "compute the placement again", "placement is based on revision %d, not %d", c.Placement.Base, s.Placement.Revision)}
		}
	}
	return Result{Revision: revision}
}

// applyDocument replaces the document if the version of the new one is higher.
// Any other document is ignored without an error.
func (s *State) applyDocument(d *document.Document) {
	if s.Document == nil || d.Version > s.Document.Version {
		s.Document = d
	}
}

func (s *State) applyChange(revision uint64, c Change) Result {
	if answer, ok := s.Answer(c.ID); ok {
		return answer
	}
	if c.HasBase && c.Base != s.SettingsRevision {
		return s.conflict(c)
	}
	tree, err := s.Tree.Apply(c.Ops)
	if err != nil {
		return Result{Err: fault.From(err)}
	}
	c.Revision = revision
	s.Tree = tree
	s.SettingsRevision = revision
	s.addToHistory(c)
	return Result{Revision: revision}
}

// Answer returns the answer to an applied change with the given ID. It reports
// false if the history holds no such change.
func (s *State) Answer(id string) (Result, bool) {
	revision, ok := s.answers[id]
	return Result{Revision: revision, Repeated: ok}, ok
}

// Check returns the answer that Apply would give to the change, without applying it.
// If the change would be accepted, the revision in the answer is the settings revision
// that is in force now.
func (s *State) Check(c Change) Result {
	if answer, ok := s.Answer(c.ID); ok {
		return answer
	}
	if c.HasBase && c.Base != s.SettingsRevision {
		return s.conflict(c)
	}
	if _, err := s.Tree.Apply(c.Ops); err != nil {
		return Result{Err: fault.From(err)}
	}
	return Result{Revision: s.SettingsRevision}
}

func (s *State) conflict(c Change) Result {
	return Result{
		Err:     fault.New(fault.Conflict, "review the changes since that revision and submit the change again, based on the revision in force", "change %q is based on settings revision %d, but %d is in force", c.ID, c.Base, s.SettingsRevision),
		Changed: s.ChangesAfter(c.Base),
	}
}

func (s *State) addToHistory(c Change) {
	s.history = append(s.history, c)
	s.answers[c.ID] = c.Revision
	if len(s.history) <= maxHistory {
		return
	}
	delete(s.answers, s.history[0].ID)
	s.history = s.history[1:]
}

// ChangesAfter returns the changes in the history with a larger revision,
// oldest first.
func (s *State) ChangesAfter(revision uint64) []Change {
	for i, c := range s.history {
		if c.Revision > revision {
			return append([]Change(nil), s.history[i:]...)
		}
	}
	return nil
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Revision         uint64
	SettingsRevision uint64
	Seed             uint64
	Settings         []settings.Op
	Placement        *table.Placement
	Document         *document.Document
	Evacuations      evacuation.Set
	History          []Change
}

// Snapshot returns the state in CBOR.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Revision:         s.Revision,
		SettingsRevision: s.SettingsRevision,
		Seed:             s.Seed,
		Settings:         s.Tree.Export(),
		Placement:        s.Placement,
		Document:         s.Document,
		Evacuations:      s.Evacuations,
		History:          s.history,
	}
	data, err := codec.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore returns the state that is encoded in the snapshot.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return nil, fault.New(fault.Corrupt, "take another snapshot", "decode snapshot: %w", err)
	}
	s := New()
	s.Revision, s.SettingsRevision, s.Seed = snap.Revision, snap.SettingsRevision, snap.Seed
	s.Tree = settings.Import(snap.Settings)
	s.Document, s.Evacuations = snap.Document, snap.Evacuations
	if snap.Placement != nil {
		s.Placement = snap.Placement.Clone() // Clone replaces nil maps by empty ones
	}
	for _, c := range snap.History {
		s.addToHistory(c)
	}
	return s, nil
}
