package records

import (
	"math/bits"
	"sync"
	"sync/atomic"

	"greengagequay/internal/table"
)

// slot is an entry of a shard. The flow 0 marks an empty slot. The value holds
// the backend server, the time of the last packet and the flags.
type slot struct{ flow, value atomic.Uint64 }

func pack(n table.BackendNum, seen Seconds, flags Flag) uint64 {
	return uint64(n)<<32 | uint64(seen)<<flagBits | uint64(flags)
}

func unpack(value uint64) (table.BackendNum, Seconds, Flag) {
	low := uint32(value)
	return table.BackendNum(value >> 32), Seconds(low >> flagBits), Flag(low & flagMask)
}

// shard is a hash table with linear probing. Changes are made under its lock.
// Readers take no lock: they read the version before and after, and read again
// under the lock if it was odd or has changed.
type shard struct {
	mu      sync.Mutex
	version atomic.Uint64 // odd while slots are moved
	slots   atomic.Pointer[[]slot]
	used    int
	_       [32]byte // keeps two shards on different cache lines
}

// table returns the slots.
func (sh *shard) table() []slot {
	if p := sh.slots.Load(); p != nil {
		return *p
	}
	return nil
}

// read returns the value of a flow and notes that it was seen now. The result
// counts only if clean is true or the caller holds the lock.
func (sh *shard) read(flow uint64, now Seconds) (value uint64, ok, clean bool) {
	version := sh.version.Load()
	slots := sh.table()
	i := start(flow, len(slots))
	for range slots {
		f := slots[i].flow.Load()
		if f == 0 {
			break
		}
		if f == flow {
			value = slots[i].value.Load()
			clean = version&1 == 0 && sh.version.Load() == version
			touch(&slots[i], value, now)
			return value, true, clean
		}
		i = next(i, len(slots))
	}
	return 0, false, version&1 == 0 && sh.version.Load() == version
}

// touch sets the time of a slot's last packet. If the slot was changed in the
// meantime, the time stays as it is until the next packet.
func touch(e *slot, value uint64, now Seconds) {
	if n, seen, flags := unpack(value); seen != now {
		e.value.CompareAndSwap(value, pack(n, now, flags))
	}
}

// start returns the slot at which the search for a flow starts. It depends on
// the high bits, as the low ones are equal within a shard.
func start(flow uint64, size int) int {
	high, _ := bits.Mul64(flow, uint64(size))
	return int(high)
}

// next returns the slot after i.
func next(i, size int) int {
	if i++; i < size {
		return i
	}
	return 0
}

// distance returns the number of steps from one slot to another.
func distance(from, to, size int) int {
	if to >= from {
		return to - from
	}
	return to - from + size
}

// find returns the slot of a flow, or else the free slot for it. The caller
// holds the lock.
func (sh *shard) find(flow uint64) (int, bool) {
	return findIn(sh.table(), flow)
}

func findIn(slots []slot, flow uint64) (int, bool) {
	if len(slots) == 0 {
		return 0, false
	}
	for i := start(flow, len(slots)); ; i = next(i, len(slots)) {
		switch slots[i].flow.Load() {
		case flow:
			return i, true
		case 0:
			return i, false
		}
	}
}

// insert adds a flow that is not in the shard.
func (sh *shard) insert(flow, value uint64) {
	if (sh.used+1)*maxFullShare > len(sh.table())*(maxFullShare-1) {
		sh.grow()
	}
	sh.used++
	i, _ := sh.find(flow)
	e := &sh.table()[i]
	e.value.Store(value) // before the flow, which readers look for
	e.flow.Store(flow)
}

func (sh *shard) grow() {
	old := sh.table()
	slots := make([]slot, max(minSlots, len(old)+len(old)/2))
	for i := range old {
		if flow := old[i].flow.Load(); flow != 0 {
			j, _ := findIn(slots, flow)
			slots[j].flow.Store(flow)
			slots[j].value.Store(old[i].value.Load())
		}
	}
	sh.slots.Store(&slots)
}

// remove empties slot i and moves back the entries that probed past it.
func (sh *shard) remove(i int) {
	sh.version.Add(1)
	defer sh.version.Add(1)
	slots := sh.table()
	sh.used--
	for j := i; ; {
		j = next(j, len(slots))
		flow := slots[j].flow.Load()
		if flow == 0 {
			break
		}
		if distance(start(flow, len(slots)), j, len(slots)) >= distance(i, j, len(slots)) {
			slots[i].value.Store(slots[j].value.Load())
			slots[i].flow.Store(flow)
			i = j
		}
	}
	slots[i].flow.Store(0)
}

func (sh *shard) expire(now Seconds, idle func(table.BackendNum, Flag) Seconds) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	removed := 0
	slots := sh.table()
	for i := 0; i < len(slots); {
		n, seen, flags := unpack(slots[i].value.Load())
		if slots[i].flow.Load() != 0 && now > seen && now-seen > idle(n, flags) {
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
	slots := sh.table()
	for i := range slots {
		flow := slots[i].flow.Load()
		if flow == 0 || flow&mask != index {
			continue
		}
		if n, _, _ := unpack(slots[i].value.Load()); member(n) {
			out = append(out, Record{Flow: flow, Backend: n})
		}
	}
	return out
}
