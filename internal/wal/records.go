package wal

import (
	"greengagequay/internal/codec"
	"greengagequay/internal/raft"
)

// batch is the payload of a frame of the log: the hard state, and the entries
// that were saved with it.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Term    uint64
	Vote    uint64
	Commit  uint64
	Entries []storedEntry
}

// storedEntry is an entry as stored on disk.
type storedEntry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Type  uint8
	Data  []byte
}

// reset is the payload of a frame of kindReset.
type reset struct {
	_     struct{} `cbor:",toarray"`
	Batch batch
	Index uint64
	Term  uint64
}

// identity is the payload of the identity file.
type identity struct {
	ID uint64
}

func newBatch(hs raft.HardState, entries []raft.Entry) batch {
	b := batch{Term: hs.Term, Vote: uint64(hs.Vote), Commit: hs.Commit, Entries: make([]storedEntry, len(entries))}
	for i, e := range entries {
		b.Entries[i] = storedEntry{Index: e.Index, Term: e.Term, Type: uint8(e.Type), Data: e.Data}
	}
	return b
}

func (b batch) toHardState() raft.HardState {
	return raft.HardState{Term: b.Term, Vote: raft.ID(b.Vote), Commit: b.Commit}
}

func (e storedEntry) toEntry() raft.Entry {
	return raft.Entry{Index: e.Index, Term: e.Term, Type: raft.EntryType(e.Type), Data: e.Data}
}

func encode(v any) []byte {
	data, err := codec.Marshal(v)
	if err != nil {
		panic(err) // structs of plain fields can always be encoded
	}
	return data
}

// EncodeBackup encodes a snapshot as a backup file. Snapshot files in the data
// folder have the same format.
func EncodeBackup(s raft.Snapshot) []byte {
	return appendFrame(nil, kindSnapshot, s.Index, encode(s))
}

// DecodeBackup checks and parses a backup or snapshot file. Error messages contain
// the name.
func DecodeBackup(name string, data []byte) (raft.Snapshot, error) {
	var s raft.Snapshot
	f, ok := parseFrame(data)
	if !ok || f.kind != kindSnapshot || f.size != len(data) {
		return s, corrupt(name, 0, "the snapshot is malformed or its checksum is wrong", remedySnapshot)
	}
	if err := codec.Unmarshal(f.payload, &s); err != nil {
		return s, corrupt(name, 0, "the snapshot cannot be decoded: "+err.Error(), remedySnapshot)
	}
	return s, nil
}
