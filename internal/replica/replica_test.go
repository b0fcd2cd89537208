package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/document"
	"greengagequay/internal/state"
)

// documentEntry returns an entry whose document has a source of the given size.
func documentEntry(c *qt.C, revision uint64, sourceBytes int) Entry {
	data, err := state.Encode(state.Command{Document: &document.Document{Version: revision, Source: make([]byte, sourceBytes)}})
	c.Assert(err, qt.IsNil)
	return Entry{Revision: revision, Data: data}
}

// Guards against hosts that keep thousands of large documents in memory.
func TestKeptEntriesAreLimitedInBytes(t *testing.T) {
	c := qt.New(t)
	r := New()
	for revision := uint64(1); revision <= 200; revision++ {
		c.Assert(r.Install(Batch{Entries: []Entry{documentEntry(c, revision, 300<<10)}}), qt.IsNil)
		kept := 0
		for _, e := range r.tail.entries {
			kept += len(e.Data)
		}
		c.Assert(kept <= maxTailBytes, qt.IsTrue, qt.Commentf("revision %d: %d bytes", revision, kept))
	}
}

// A peer gets the entries that it lacks if they are kept, else a snapshot.
func TestAfter(t *testing.T) {
	tests := []struct {
		name     string
		bytes    int
		after    uint64
		snapshot bool
		entries  int
	}{
		{"a small lag", 100, 30, false, 10},
		{"a long lag of small entries", 100, 0, false, 40},
		{"a small lag of large entries", 300 << 10, 38, false, 2},
		{"a long lag of large entries", 300 << 10, 5, true, 0},
		{"an entry above the limit", maxTailBytes + 1, 39, true, 0},
		{"no lag", 100, 40, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := New()
			for revision := uint64(1); revision <= 40; revision++ {
				c.Assert(r.Install(Batch{Entries: []Entry{documentEntry(c, revision, tt.bytes)}}), qt.IsNil)
			}
			b, err := r.After(tt.after)
			c.Assert(err, qt.IsNil)
			c.Assert(len(b.Snapshot) > 0, qt.Equals, tt.snapshot)
			c.Assert(b.Entries, qt.HasLen, tt.entries)
			peer := New()
			c.Assert(peer.Install(Batch{Snapshot: b.Snapshot}), qt.IsNil)
			c.Assert(tt.snapshot, qt.Equals, peer.Revision() == r.Revision())
		})
	}
}
