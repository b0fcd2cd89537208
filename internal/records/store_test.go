package records

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/table"
)

// TestStoreAgainstMap runs random operations on a store and on a map and compares
// the results.
func TestStoreAgainstMap(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	s, want := New(3000), map[uint64]table.BackendNum{}
	for range 200000 {
		flow := uint64(r.IntN(5000)) * 0x9e3779b97f4a7c15 &^ 63 // puts all flows in one shard
		switch r.IntN(3) {
		case 0:
			b := table.BackendNum(r.IntN(9) + 1)
			if s.Put(Record{Flow: flow, Backend: b}, 0, 1) {
				want[nonZeroFlow(flow)] = b
			} else if _, known := want[nonZeroFlow(flow)]; known || len(want) < 3000 {
				t.Fatalf("flow %d was refused at %d records", flow, len(want))
			}
		case 1:
			s.Delete(flow)
			delete(want, nonZeroFlow(flow))
		default:
			b, _, ok := s.Lookup(flow, 1)
			w, known := want[nonZeroFlow(flow)]
			if ok != known || b != w {
				t.Fatalf("flow %d: got %d %v, want %d %v", flow, b, ok, w, known)
			}
		}
	}
	c.Assert(s.Len(), qt.Equals, len(want))
}

// TestReadersWithoutLock looks flows up while other flows are added to and deleted
// from the same shard.
func TestReadersWithoutLock(t *testing.T) {
	s := New(10000)
	flow := func(i uint64) uint64 { return i * 0x9e3779b97f4a7c15 &^ 63 }
	for i := range uint64(100) {
		s.Put(Record{Flow: flow(i), Backend: table.BackendNum(i + 1)}, 0, 0)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range uint64(200000) {
			other := flow(1000 + i%500)
			s.Put(Record{Flow: other, Backend: 9999}, 0, 0)
			s.Delete(flow(1000 + (i*7)%500))
		}
	}()
	for round := Seconds(0); ; round++ {
		for i := range uint64(100) {
			if n, _, ok := s.Lookup(flow(i), round); !ok || n != table.BackendNum(i+1) {
				t.Fatalf("flow %d: got %d %v", i, n, ok)
			}
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

func TestExpireKeepsActiveRecords(t *testing.T) {
	c := qt.New(t)
	s := New(10000)
	for i := range uint64(10000) {
		s.Put(Record{Flow: i * 0x9e3779b97f4a7c15, Backend: 1}, 0, Seconds(i%2)*100)
	}
	idle := func(table.BackendNum, Flag) Seconds { return 60 }
	c.Assert(s.Expire(110, idle), qt.Equals, 5000)
	for i := range uint64(10000) {
		_, _, ok := s.Lookup(i*0x9e3779b97f4a7c15, 110)
		c.Assert(ok, qt.Equals, i%2 == 1)
	}
}

func TestBatchOfBucket(t *testing.T) {
	c := qt.New(t)
	for _, mask := range []uint64{15, 255} {
		s := New(10000)
		for i := range uint64(4096) {
			s.Put(Record{Flow: i, Backend: table.BackendNum(1 + i/2048)}, 0, 0)
		}
		got := s.Bucket(nil, 5, mask, func(b table.BackendNum) bool { return b == 2 })
		c.Assert(uint64(len(got)), qt.Equals, 2048/(mask+1))
		back, err := Decode(Encode(got))
		c.Assert(err, qt.IsNil)
		c.Assert(back, qt.DeepEquals, got)
	}
	_, err := Decode(make([]byte, 13))
	c.Assert(err, qt.ErrorMatches, ".*truncated.*")
}

// BenchmarkBytesPerRecord reports the memory per record of a store with 500,000
// records.
func BenchmarkBytesPerRecord(b *testing.B) {
	const n = 500000
	for b.Loop() {
		s, r := New(n), rand.New(rand.NewPCG(1, 2))
		for range n {
			s.Put(Record{Flow: r.Uint64(), Backend: 1}, 0, 0)
		}
		b.ReportMetric(float64(s.Bytes())/n, "bytes/record")
	}
}

func BenchmarkLookup(b *testing.B) {
	s, r := New(500000), rand.New(rand.NewPCG(1, 2))
	flows := make([]uint64, 1<<16)
	for i := range flows {
		flows[i] = r.Uint64()
		s.Put(Record{Flow: flows[i], Backend: 1}, 0, 0)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Lookup(flows[i&(1<<16-1)], 1)
		i++
	}
}
