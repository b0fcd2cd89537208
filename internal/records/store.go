// Package records stores the backend servers of flows that cannot be routed by the
// table alone: flows of moving buckets, and flows that an entry host placed while
// its lease was expired (while it was cut off). A record is a fingerprint of the
// flow, the number of its backend server, the time of its last packet and two flags.
package records

import (
	"sync/atomic"

	"greengagequay/internal/table"
)

// Sizes of a store.
const (
	shardCount   = 64
	minEntries   = 16 // minimum number of entries of a shard that holds a record
	entryBytes   = 16 // size of an entry in memory
	minFreeShare = 4  // a shard grows when fewer than 1 in 4 entries would be free
)

// Flag is a set of bits that describe a record.
type Flag uint32

// The flags of a record.
const (
	Confirmed Flag = 1 << iota // the backups hold the record
	Closing                    // the client ended the flow
)

const (
	flagBits = 2
	flagMask = 1<<flagBits - 1
)

// Seconds is a time in seconds since an epoch that the caller chooses. It is less
// than 2^30.
type Seconds uint32

// Record is a flow and its backend server.
type Record struct {
	Flow    uint64 // fingerprint of the flow
	Backend table.BackendNum
}

// Store holds records. It is safe for concurrent use.
type Store struct {
	shards [shardCount]shard
	limit  int64
	count  atomic.Int64
}

// New returns an empty store that holds at most limit records.
func New(limit int) *Store { return &Store{limit: int64(limit)} }

// Len returns the number of records.
func (s *Store) Len() int { return int(s.count.Load()) }

// Bytes returns the memory of all entries in bytes.
func (s *Store) Bytes() int {
	total := 0
	for i := range s.shards {
		total += len(s.shards[i].entryTable()) * entryBytes
	}
	return total
}

// nonZeroFlow replaces the fingerprint 0, which marks an empty entry, by 1.
func nonZeroFlow(flow uint64) uint64 {
	if flow == 0 {
		return 1
	}
	return flow
}

func (s *Store) shard(flow uint64) *shard { return &s.shards[flow%shardCount] }

// Lookup returns the backend server and the flags of the flow and sets the time of
// its last packet to now.
func (s *Store) Lookup(flow uint64, now Seconds) (table.BackendNum, Flag, bool) {
	flow = nonZeroFlow(flow)
	sh := s.shard(flow)
	value, ok, consistent := sh.read(flow, now)
	if !consistent {
		sh.mu.Lock()
		value, ok, _ = sh.read(flow, now)
		sh.mu.Unlock()
	}
	n, _, flags := unpack(value)
	return n, flags, ok
}

// Put stores a record and replaces the flow's previous one. It returns false if the
// flow has no record and the store is full; the caller must then treat the flow as
// unrecorded.
func (s *Store) Put(r Record, flags Flag, now Seconds) bool {
	flow := nonZeroFlow(r.Flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	value := pack(r.Backend, now, flags)
	if i, ok := sh.find(flow); ok {
		sh.entryTable()[i].value.Store(value)
		return true
	}
	if s.count.Load() >= s.limit {
		return false
	}
	s.count.Add(1)
	sh.insert(flow, value)
	return true
}

// Mark adds flags to the record of a flow, if there is one.
func (s *Store) Mark(flow uint64, flags Flag) {
	flow = nonZeroFlow(flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if i, ok := sh.find(flow); ok {
		sh.entryTable()[i].value.Or(uint64(flags))
	}
}

// Delete removes the record of a flow.
func (s *Store) Delete(flow uint64) {
	flow = nonZeroFlow(flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if i, ok := sh.find(flow); ok {
		sh.remove(i)
		s.count.Add(-1)
	}
}

// Expire removes the records that have been idle for longer than their idle
// timeout, which the function idle returns, and returns their number.
func (s *Store) Expire(now Seconds, idle func(table.BackendNum, Flag) Seconds) int {
	removed := 0
	for i := range s.shards {
		removed += s.shards[i].expire(now, idle)
	}
	s.count.Add(int64(-removed))
	return removed
}

// Bucket appends the records of one bucket of a service to out. A flow belongs to
// the bucket whose index equals the flow's fingerprint masked with mask. The
// function member reports whether a backend server belongs to the service.
func (s *Store) Bucket(out []Record, index, mask uint64, member func(table.BackendNum) bool) []Record {
	// A shard is chosen by the low bits of the fingerprint, so only shards that
	// agree with the index in these bits can have flows of the bucket.
	common := mask & (shardCount - 1)
	for i := range s.shards {
		if uint64(i)&common != index&common {
			continue
		}
		out = s.shards[i].bucket(out, index, mask, member)
	}
	return out
}
