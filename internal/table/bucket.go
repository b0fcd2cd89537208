package table

import "slices"

// Phase is the phase of a bucket's move to another backend server.
type Phase uint8

// The phases of a bucket.
const (
	// Stable means that the bucket has at most one candidate, which receives every
	// packet.
	Stable Phase = iota
	// Prepare means that a move is announced. New flows and flows without a
	// record still go to the current candidate, and entry hosts relay the
	// bucket's packets to the home.
	Prepare
	// Move means that entry hosts relay the bucket's packets to the home, which
	// sends new flows to Opening. A bucket enters it only after every entry host
	// with a valid lease relays the packets, unless the current candidate is gone.
	Move
	// Settle is like Move, but every flow without a record belongs to Opening.
	// Flows of other candidates depend on their records, which the home copies to
	// the backups.
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
// Its encoded form has short keys, as changed buckets are most of the data that
// is sent to hosts about the placement.
type Bucket struct {
	// Since is the revision at which Phase, Home, Opening or Unknown changed.
	Since uint64 `cbor:"4,keyasint,omitempty"`
	// Candidates are the backend servers that may have flows of the bucket,
	// oldest first and without duplicates. Unused entries at the end are 0.
	Candidates [MaxCandidates]BackendNum `cbor:"1,keyasint"`
	// Home is the entry host that records the flows of a moving bucket, or 0 if no
	// entry host can.
	Home HostNum `cbor:"2,keyasint,omitempty"`
	// Backups are the entry hosts that hold copies of the records. Unused entries
	// are 0.
	Backups [MaxBackups]HostNum `cbor:"3,keyasint"`
	Phase   Phase               `cbor:"5,keyasint,omitempty"`
	// Target is the index of the candidate that takes new flows.
	Target uint8 `cbor:"6,keyasint,omitempty"`
	// Fallback is the index of the candidate that has the flows without a
	// record.
	Fallback uint8 `cbor:"7,keyasint,omitempty"`
	// Synced has bit i set if Backups[i] has acknowledged a copy of every
	// record. A backup without this bit becomes the home only if the home has
	// lost its records and no backup is synced.
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

// Opening returns the candidate that takes new flows, or 0 if there is none.
func (b *Bucket) Opening() BackendNum { return b.Candidates[b.Target] }

// Unknown returns the candidate that has the flows without a record, or 0 if
// there is none.
func (b *Bucket) Unknown() BackendNum { return b.Candidates[b.Fallback] }

// Oldest returns the first candidate, or 0 if there is none.
func (b *Bucket) Oldest() BackendNum { return b.Candidates[0] }

// Newest returns the last candidate, or 0 if there is none. Opening may return
// another candidate.
func (b *Bucket) Newest() BackendNum {
	if n := b.Len(); n > 0 {
		return b.Candidates[n-1]
	}
	return 0
}

// Moving reports whether packets of the bucket are relayed to its home.
func (b *Bucket) Moving() bool { return b.Phase != Stable }

// IsSynced reports whether the backup at the index holds every record.
func (b *Bucket) IsSynced(backup int) bool { return b.Synced&(1<<backup) != 0 }

// StableAt returns a stable bucket with one candidate.
func StableAt(n BackendNum) Bucket {
	return Bucket{Candidates: [MaxCandidates]BackendNum{n}}
}

// routesSameAs reports whether entry hosts route packets of both buckets the same
// way.
func (b *Bucket) routesSameAs(o *Bucket) bool {
	return b.Phase == o.Phase && b.Home == o.Home &&
		b.Opening() == o.Opening() && b.Unknown() == o.Unknown()
}
