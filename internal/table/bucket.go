package table

import "slices"

// Phase tells how far a move of a bucket has come.
type Phase uint8

// The phases of a bucket.
const (
	// Stable: one candidate takes every packet.
	Stable Phase = iota
	// Prepare: a move is announced. New and unknown flows still go to the
	// present candidate, and the bucket's packets are relayed to the home.
	Prepare
	// Move: every entry host that may forward relays the bucket's packets to
	// the home, which sends new flows to Opening.
	Move
	// Settle: as Move, but every flow that is not recorded belongs to
	// Opening. The records of other candidates are copied to entry hosts.
	Settle
)

// Limits of a bucket.
const (
	MaxCandidates = 4
	MaxBackups    = 2
)

// BackendNum is the number of a backend server. Numbers start at 1 and are not
// reused.
type BackendNum uint32

// HostNum is the number of an entry host. Numbers start at 1 and are not
// reused.
type HostNum uint32

// Bucket is the placement of one bucket. It has a fixed size and is comparable.
// Its stored form has short keys, as changed buckets are most of what the
// placement sends to hosts.
type Bucket struct {
	// Since is the revision at which Phase, Home, target or fallback changed.
	Since uint64 `cbor:"4,keyasint,omitempty"`
	// Candidates are the backend servers that may have flows of the bucket,
	// oldest first, each once, 0 where unused.
	Candidates [MaxCandidates]BackendNum `cbor:"1,keyasint"`
	// Home records the flows of a moving bucket. It is 0 if no entry host can.
	Home HostNum `cbor:"2,keyasint,omitempty"`
	// Backups hold copies of the records, 0 where unused.
	Backups [MaxBackups]HostNum `cbor:"3,keyasint"`
	Phase   Phase               `cbor:"5,keyasint,omitempty"`
	// Target is the index of the candidate that takes new flows.
	Target uint8 `cbor:"6,keyasint,omitempty"`
	// Fallback is the index of the candidate that has the flows of which no
	// record exists.
	Fallback uint8 `cbor:"7,keyasint,omitempty"`
	// Synced has bit i set if Backups[i] has acknowledged a copy of every
	// record. Other backups may not become the home while records matter.
	Synced uint8 `cbor:"8,keyasint,omitempty"`
}

// Len returns the number of candidates.
func (b *Bucket) Len() int {
	n := 0
	for n < MaxCandidates && b.Candidates[n] != 0 {
		n++
	}
	return n
}

// All returns the candidates, oldest first. The caller must not change them.
func (b *Bucket) All() []BackendNum { return b.Candidates[:b.Len()] }

// Has reports whether the backend server is a candidate.
func (b *Bucket) Has(n BackendNum) bool { return n != 0 && slices.Contains(b.Candidates[:], n) }

// Opening returns the candidate that takes new flows, 0 if there is none.
func (b *Bucket) Opening() BackendNum { return b.Candidates[b.Target] }

// Unknown returns the candidate that has the flows of which no record exists,
// 0 if there is none.
func (b *Bucket) Unknown() BackendNum { return b.Candidates[b.Fallback] }

// Oldest returns the first candidate, 0 if there is none.
func (b *Bucket) Oldest() BackendNum { return b.Candidates[0] }

// Newest returns the last candidate, 0 if there is none. It is not always the
// one that takes new flows: see Opening.
func (b *Bucket) Newest() BackendNum {
	if n := b.Len(); n > 0 {
		return b.Candidates[n-1]
	}
	return 0
}

// Moving reports whether packets of the bucket go through its home.
func (b *Bucket) Moving() bool { return b.Phase != Stable }

// IsSynced reports whether the backup at the index holds every record.
func (b *Bucket) IsSynced(backup int) bool { return b.Synced&(1<<backup) != 0 }

// StableAt returns a stable bucket with one candidate.
func StableAt(n BackendNum) Bucket {
	return Bucket{Candidates: [MaxCandidates]BackendNum{n}}
}

// routesLike reports whether entry hosts treat both buckets alike.
func (b *Bucket) routesLike(o *Bucket) bool {
	return b.Phase == o.Phase && b.Home == o.Home &&
		b.Opening() == o.Opening() && b.Unknown() == o.Unknown()
}
