// Package records keeps which backend server each flow of a moving bucket was
// placed on. A record is a fingerprint of the flow, the number of its backend
// server, the time of its last packet and two flags.
package records

import (
	"math/bits"
	"sync"
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

// slot is an entry of a shard. The flow 0 marks an empty slot.
type slot struct {
	flow    uint64
	backend table.BackendNum
	seen    uint32 // Seconds and flags
}

// shard is a hash table with linear probing under its own lock.
type shard struct {
	mu    sync.Mutex
	slots []slot
	used  int
	_     [24]byte // keeps the locks of two shards on different cache lines
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
		sh := &s.shards[i]
		sh.mu.Lock()
		total += len(sh.slots) * recordBytes
		sh.mu.Unlock()
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
	sh.mu.Lock()
	i, ok := sh.find(flow)
	if !ok {
		sh.mu.Unlock()
		return 0, 0, false
	}
	e := &sh.slots[i]
	flags := Flag(e.seen & flagMask)
	e.seen = uint32(now)<<flagBits | uint32(flags)
	backend := e.backend
	sh.mu.Unlock()
	return backend, flags, true
}

// Put records the flow, replacing what was recorded. It reports false if the
// store is full; the caller must then treat the flow as unknown.
func (s *Store) Put(r Record, flags Flag, now Seconds) bool {
	flow := normal(r.Flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	i, ok := sh.find(flow)
	if !ok {
		if s.count.Load() >= s.limit {
			return false
		}
		s.count.Add(1)
		i = sh.insert(flow)
	}
	sh.slots[i] = slot{flow: flow, backend: r.Backend, seen: uint32(now)<<flagBits | uint32(flags)}
	return true
}

// Mark adds flags to the record of a flow, if there is one.
func (s *Store) Mark(flow uint64, flags Flag) {
	flow = normal(flow)
	sh := s.shard(flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if i, ok := sh.find(flow); ok {
		sh.slots[i].seen |= uint32(flags)
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

// home returns the slot at which the search for a flow starts. It depends on
// the high bits, as the low ones are equal within a shard.
func (sh *shard) home(flow uint64) int {
	high, _ := bits.Mul64(flow, uint64(len(sh.slots)))
	return int(high)
}

// next returns the slot after i.
func (sh *shard) next(i int) int {
	if i++; i < len(sh.slots) {
		return i
	}
	return 0
}

func (sh *shard) find(flow uint64) (int, bool) {
	if len(sh.slots) == 0 {
		return 0, false
	}
	for i := sh.home(flow); ; i = sh.next(i) {
		switch sh.slots[i].flow {
		case flow:
			return i, true
		case 0:
			return i, false
		}
	}
}

// insert returns a free slot for a flow that is not in the shard.
func (sh *shard) insert(flow uint64) int {
	if (sh.used+1)*maxFullShare > len(sh.slots)*(maxFullShare-1) {
		sh.grow()
	}
	sh.used++
	i, _ := sh.find(flow)
	return i
}

func (sh *shard) grow() {
	old := sh.slots
	sh.slots = make([]slot, max(minSlots, len(old)+len(old)/2))
	for _, e := range old {
		if e.flow != 0 {
			i, _ := sh.find(e.flow)
			sh.slots[i] = e
		}
	}
}

// remove empties slot i and moves back the entries that probed past it.
func (sh *shard) remove(i int) {
	sh.used--
	for j := i; ; {
		j = sh.next(j)
		e := sh.slots[j]
		if e.flow == 0 {
			break
		}
		if sh.distance(sh.home(e.flow), j) >= sh.distance(i, j) {
			sh.slots[i] = e
			i = j
		}
	}
	sh.slots[i] = slot{}
}

// distance returns the number of steps from one slot to another.
func (sh *shard) distance(from, to int) int {
	if to >= from {
		return to - from
	}
	return to - from + len(sh.slots)
}

func (sh *shard) expire(now Seconds, idle func(table.BackendNum, Flag) Seconds) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	removed := 0
	for i := 0; i < len(sh.slots); {
		e := sh.slots[i]
		seen := Seconds(e.seen >> flagBits)
		if e.flow != 0 && now > seen && now-seen > idle(e.backend, Flag(e.seen&flagMask)) {
			sh.remove(i) // may have moved another entry to i
			removed++
			continue
		}
		i++
	}
	return removed
}

func (sh *shard) bucket(out []Record, index, mask uint64, member func(table.BackendNum) bool) []Record {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, e := range sh.slots {
		if e.flow != 0 && e.flow&mask == index && member(e.backend) {
			out = append(out, Record{Flow: e.flow, Backend: e.backend})
		}
	}
	return out
}
