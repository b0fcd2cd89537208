package place_test

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/model"
)

// algorithm assigns entries (buckets, or entries of a lookup table) to backend
// servers.
type algorithm struct {
	name    string
	entries int
	place   func(entries int, ids []string) []string
}

var algorithms = []algorithm{
	{"hash modulo", 65537, modulo},
	{"rendezvous", 256, rendezvous},
	{"rendezvous", 65537, rendezvous},
	{"Maglev", 65537, maglev},
}

func hashOf(id string, entry int) uint64 {
	key := binary.LittleEndian.AppendUint64(make([]byte, 0, 32), uint64(entry))
	return xxhash.Sum64(append(key, id...))
}

func modulo(entries int, ids []string) []string {
	out := make([]string, entries)
	for i := range out {
		out[i] = ids[hashOf("", i)%uint64(len(ids))]
	}
	return out
}

func rendezvous(entries int, ids []string) []string {
	out := make([]string, entries)
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

// maglev fills a lookup table: the backend servers take turns, and each takes the
// next free entry of its own permutation of the entries.
func maglev(entries int, ids []string) []string {
	out := make([]string, entries)
	next := make([]int, len(ids))
	offset, skip := make([]uint64, len(ids)), make([]uint64, len(ids))
	for k, id := range ids {
		offset[k], skip[k] = hashOf(id, 0)%uint64(entries), hashOf(id, 1)%uint64(entries-1)+1
	}
	for filled := 0; ; {
		for k, id := range ids {
			for {
				entry := (offset[k] + uint64(next[k])*skip[k]) % uint64(entries)
				next[k]++
				if out[entry] == "" {
					out[entry] = id
					break
				}
			}
			if filled++; filled == entries {
				return out
			}
		}
	}
}

// compareLoss returns max/mean of the entries per backend server after the loss of
// one, and the share of all entries that moved although their backend server
// stayed.
func compareLoss(before, after []string, lost string, left int) (imbalance, needless float64) {
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

func TestPlacementAlgorithms(t *testing.T) {
	for _, n := range []int{14, 4} {
		sim := newPlacedSimulation(256, n)
		var ids []string
		for _, b := range sim.backends {
			ids = append(ids, b.ID)
		}
		for _, a := range algorithms {
			imbalance, needless := compareLoss(a.place(a.entries, ids), a.place(a.entries, ids[1:]), ids[0], n-1)
			t.Logf("%2d backend servers, one lost: %-12s %5d entries, max/mean %.3f, needlessly moved %.4f", n, a.name, a.entries, imbalance, needless)
		}
		before := sim.targetIDs()
		sim.backends[0].State = model.Gone
		sim.step()
		imbalance, needless := compareLoss(before, sim.targetIDs(), ids[0], n-1)
		t.Logf("%2d backend servers, one lost: %-12s %5d entries, max/mean %.3f, needlessly moved %.4f", n, "quotas", 256, imbalance, needless)
		if needless > 0 || imbalance > 1+float64(n)/256 {
			t.Errorf("quotas: max/mean %.3f, needlessly moved %.4f", imbalance, needless)
		}
	}
}

// targetIDs returns for each bucket the ID of the backend server that takes its new
// flows.
func (sim *simulation) targetIDs() []string {
	var out []string
	for _, b := range sim.buckets("s") {
		out = append(out, sim.state.Placement.Backends[b.Opening()].ID)
	}
	return out
}
