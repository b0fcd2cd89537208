package records

import (
	"math/bits"
	"sync"
	"sync/atomic"

	"greengagequay/internal/table"
)

// entry holds one record, or none if its flow is 0. The value packs the backend
// server, the time of the last packet and the flags.
type entry struct{ flow, value atomic.Uint64 }

func pack(n table.BackendNum, seen Seconds, flags Flag) uint64 {
	return uint64(n)<<32 | uint64(seen)<<flagBits | uint64(flags)
}

func unpack(value uint64) (table.BackendNum, Seconds, Flag) {
	low := uint32(value)
	return table.BackendNum(value >> 32), Seconds(low >> flagBits), Flag(low & flagMask)
}

// shard is a hash table with linear probing. Writers hold its lock. Readers take
// no lock: they read the version before and after a lookup, and repeat the lookup
// under the lock if the version was odd or has changed.
type shard struct {
	mu      sync.Mutex
	version atomic.Uint64 // odd while entries are moved
	entries atomic.Pointer[[]entry]
	used    int
	_       [32]byte // keeps neighboring shards on different cache lines
}

// entryTable returns the entries, or nil if none are allocated yet.
func (sh *shard) entryTable() []entry {
	if p := sh.entries.Load(); p != nil {
		return *p
	}
	return nil
}

// read returns the value of a flow and sets the time of its last packet to now. The
// result is valid only if consistent is true or the caller holds the lock.
func (sh *shard) read(flow uint64, now Seconds) (value uint64, ok, consistent bool) {
	version := sh.version.Load()
	entries := sh.entryTable()
	i := probeStart(flow, len(entries))
	for range entries {
		f := entries[i].flow.Load()
		if f == 0 {
			break
		}
		if f == flow {
			value = entries[i].value.Load()
			consistent = version&1 == 0 && sh.version.Load() == version
			touch(&entries[i], value, now)
			return value, true, consistent
		}
		i = next(i, len(entries))
	}
	return 0, false, version&1 == 0 && sh.version.Load() == version
}

// touch sets the time of a flow's last packet. If the entry has changed since value
// was read, its time stays the same until the next packet.
func touch(e *entry, value uint64, now Seconds) {
	if n, seen, flags := unpack(value); seen != now {
		e.value.CompareAndSwap(value, pack(n, now, flags))
	}
}

// probeStart returns the index at which the search for a flow starts. It depends on
// the high bits, as the low ones are equal within a shard.
func probeStart(flow uint64, size int) int {
	high, _ := bits.Mul64(flow, uint64(size))
	return int(high)
}

// next returns the index after i, wrapping around at size.
func next(i, size int) int {
	if i++; i < size {
		return i
	}
	return 0
}

// distance returns the number of steps from one index to another.
func distance(from, to, size int) int {
	if to >= from {
		return to - from
	}
	return to - from + size
}

// find returns the index of a flow and true, or the index of the free entry for it
// and false. The caller holds the lock.
func (sh *shard) find(flow uint64) (int, bool) {
	return findIn(sh.entryTable(), flow)
}

// findIn is find for the given entries.
func findIn(entries []entry, flow uint64) (int, bool) {
	if len(entries) == 0 {
		return 0, false
	}
	for i := probeStart(flow, len(entries)); ; i = next(i, len(entries)) {
		switch entries[i].flow.Load() {
		case flow:
			return i, true
		case 0:
			return i, false
		}
	}
}

// insert adds a flow that is not in the shard.
func (sh *shard) insert(flow, value uint64) {
	if (sh.used+1)*minFreeShare > len(sh.entryTable())*(minFreeShare-1) {
		sh.grow()
	}
	sh.used++
	i, _ := sh.find(flow)
	e := &sh.entryTable()[i]
	e.value.Store(value) // stored before the flow, which makes the entry visible to readers
	e.flow.Store(flow)
}

// grow moves the entries to a table that is larger by half.
func (sh *shard) grow() {
	old := sh.entryTable()
	entries := make([]entry, max(minEntries, len(old)+len(old)/2))
	for i := range old {
		if flow := old[i].flow.Load(); flow != 0 {
			j, _ := findIn(entries, flow)
			entries[j].flow.Store(flow)
			entries[j].value.Store(old[i].value.Load())
		}
	}
	sh.entries.Store(&entries)
}

// remove empties entry i and moves back the later entries that probed past it.
func (sh *shard) remove(i int) {
	sh.version.Add(1)
	defer sh.version.Add(1)
	entries := sh.entryTable()
	sh.used--
	for j := i; ; {
		j = next(j, len(entries))
		flow := entries[j].flow.Load()
		if flow == 0 {
			break
		}
		if distance(probeStart(flow, len(entries)), j, len(entries)) >= distance(i, j, len(entries)) {
			entries[i].value.Store(entries[j].value.Load())
			entries[i].flow.Store(flow)
			i = j
		}
	}
	entries[i].flow.Store(0)
}

func (sh *shard) expire(now Seconds, idle func(table.BackendNum, Flag) Seconds) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	removed := 0
	entries := sh.entryTable()
	for i := 0; i < len(entries); {
		n, seen, flags := unpack(entries[i].value.Load())
		if entries[i].flow.Load() != 0 && now > seen && now-seen > idle(n, flags) {
			sh.remove(i) // can move another entry to i, which is checked next
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
	entries := sh.entryTable()
	for i := range entries {
		flow := entries[i].flow.Load()
		if flow == 0 || flow&mask != index {
			continue
		}
		if n, _, _ := unpack(entries[i].value.Load()); member(n) {
			out = append(out, Record{Flow: flow, Backend: n})
		}
	}
	return out
}
