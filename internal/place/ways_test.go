package place_test

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/model"
)

// way places slots (buckets, or entries of a lookup table) on backend servers.
type way struct {
	name  string
	slots int
	place func(slots int, ids []string) []string
}

var ways = []way{
	{"hash modulo", 65537, modulo},
	{"rendezvous", 256, rendezvous},
	{"rendezvous", 65537, rendezvous},
	{"Maglev", 65537, maglev},
}

func hashOf(id string, slot int) uint64 {
	key := binary.LittleEndian.AppendUint64(make([]byte, 0, 32), uint64(slot))
	return xxhash.Sum64(append(key, id...))
}

func modulo(slots int, ids []string) []string {
	out := make([]string, slots)
	for i := range out {
		out[i] = ids[hashOf("", i)%uint64(len(ids))]
	}
	return out
}

func rendezvous(slots int, ids []string) []string {
	out := make([]string, slots)
	for i := range out {
		var most uint64
		for _, id := range ids {
			if h := hashOf(id, i); h >= most {
				out[i], most = id, h
			}
		}
	}
	return out
}

// maglev fills a lookup table in turns, each backend server by its own
// permutation of the slots.
func maglev(slots int, ids []string) []string {
	out := make([]string, slots)
	next := make([]int, len(ids))
	offset, skip := make([]uint64, len(ids)), make([]uint64, len(ids))
	for k, id := range ids {
		offset[k], skip[k] = hashOf(id, 0)%uint64(slots), hashOf(id, 1)%uint64(slots-1)+1
	}
	for filled := 0; ; {
		for k, id := range ids {
			for {
				slot := (offset[k] + uint64(next[k])*skip[k]) % uint64(slots)
				next[k]++
				if out[slot] == "" {
					out[slot] = id
					break
				}
			}
			if filled++; filled == slots {
				return out
			}
		}
	}
}

// compare returns max/mean of the shares after a loss, and the share of slots
// that moved though their backend server stayed.
func compare(before, after []string, lost string, left int) (imbalance, needless float64) {
	counts := map[string]int{}
	for i := range after {
		counts[after[i]]++
		if before[i] != lost && after[i] != before[i] {
			needless++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(left) / float64(len(after)), needless / float64(len(after))
}

func TestWaysOfPlacing(t *testing.T) {
	for _, n := range []int{14, 4} {
		w := started(256, n)
		var ids []string
		for _, b := range w.backends {
			ids = append(ids, b.ID)
		}
		for _, way := range ways {
			imbalance, needless := compare(way.place(way.slots, ids), way.place(way.slots, ids[1:]), ids[0], n-1)
			t.Logf("%2d backend servers, one lost: %-12s %5d slots, max/mean %.3f, needlessly moved %.4f", n, way.name, way.slots, imbalance, needless)
		}
		before := w.owners()
		w.backends[0].State = model.Gone
		w.step()
		imbalance, needless := compare(before, w.owners(), ids[0], n-1)
		t.Logf("%2d backend servers, one lost: %-12s %5d slots, max/mean %.3f, needlessly moved %.4f", n, "quotas", 256, imbalance, needless)
		if needless > 0 || imbalance > 1+float64(n)/256 {
			t.Errorf("quotas: max/mean %.3f, needlessly moved %.4f", imbalance, needless)
		}
	}
}

// owners returns the backend server that takes new flows, by bucket.
func (w *world) owners() []string {
	var out []string
	for _, b := range w.buckets("s") {
		out = append(out, w.state.Placement.Backends[b.Opening()].ID)
	}
	return out
}
