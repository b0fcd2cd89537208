// Package records keeps which backend server each flow of a moving bucket was
// placed on. A record is a fingerprint of the flow, the number of its backend
// server, the time of its last packet and two flags.
package records

import (
	"sync/atomic"

	"greengagequay/internal/table"
)

// Sizes of a store.
const (
	shardCount   = 64
	minSlots     = 16 // of a shard that holds a record
	recordBytes  = 16 // of one slot in memory
	maxFullShare = 4  // a shard grows when more than 3 of 4 slots are in use
)

// Flag is a mark on a record.
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

// Seconds is a time in seconds since an epoch that the caller chooses. It is
// at most 2^30.
type Seconds uint32

// Record is one flow and where it goes.
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

// New returns an empty store for at most limit records.
func New(limit int) *Store { return &Store{limit: int64(limit)} }

// Len returns the number of records.
func (s *Store) Len() int { return int(s.count.Load()) }

// Bytes returns the memory of all slots.
func (s *Store) Bytes() int {
	total := 0
	for i := range s.shards {
		total += len(s.shards[i].table()) * recordBytes
	}
	return total
}

func normal(flow uint64) uint64 {
	if flow == 0 {
		return 1
	}
	return flow
}

func (s *Store) shard(flow uint64) *shard { return &s.shards[flow%shardCount] }

// Lookup returns the backend server and the flags of the flow and notes that
// it was seen now.
func (s *Store) Lookup(flow uint64, now Seconds) (table.BackendNum, Flag, bool) {
	flow = normal(flow)
	sh := s.shard(flow)
	value, ok, clean := sh.read(flow, now)
	if !clean {
		sh.mu.Lock()
		value, ok, _ = sh.read(flow, now)
		sh.mu.Unlock()
	}
	n, _, flags := unpack(value)
	return n, flags, ok
}

// Put records the flow, replacing what was recorded. It reports false if the
// store is full; the caller must then treat the flow as unknown.
func (s *Store) Put(r Record, flags Flag, now Seconds) bool {
	flow := normal(r.Flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	value := pack(r.Backend, now, flags)
	if i, ok := sh.find(flow); ok {
		sh.table()[i].value.Store(value)
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
	flow = normal(flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if i, ok := sh.find(flow); ok {
		sh.table()[i].value.Or(uint64(flags))
	}
}

// Delete removes the record of a flow.
func (s *Store) Delete(flow uint64) {
	flow = normal(flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if i, ok := sh.find(flow); ok {
		sh.remove(i)
		s.count.Add(-1)
	}
}

// Expire removes the records that have been idle for longer than allowed by
// idle, which returns the longest idle time of a record in seconds.
func (s *Store) Expire(now Seconds, idle func(table.BackendNum, Flag) Seconds) int {
	removed := 0
	for i := range s.shards {
		removed += s.shards[i].expire(now, idle)
	}
	s.count.Add(int64(-removed))
	return removed
}

// Bucket appends the records of one bucket of a service to out. The bucket's
// index is the flow masked; member tells whether a backend server is one of
// the service's.
func (s *Store) Bucket(out []Record, index, mask uint64, member func(table.BackendNum) bool) []Record {
	common := mask & (shardCount - 1)
	for i := range s.shards {
		if uint64(i)&common != index&common {
			continue
		}
		out = s.shards[i].bucket(out, index, mask, member)
	}
	return out
}
