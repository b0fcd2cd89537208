package document

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/codec"
)

// randomDocument returns a document with some of a few addresses.
func randomDocument(rng *rand.Rand, version uint64) *Document {
	d := &Document{Version: version}
	for i := range 6 {
		if rng.IntN(3) == 0 {
			continue
		}
		d.Routes = append(d.Routes, Route{
			Name: fmt.Sprint("r", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443),
			Targets: []Target{{Service: fmt.Sprint("s", rng.IntN(2)), Weight: 1 + rng.Uint32N(2)}},
			Timeout: 1000, Aim: rng.Uint32N(2),
		})
	}
	return d
}

// A document with a delta applied to it has the routes of the later document.
func TestDeltaLeadsToTheLaterDocument(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		from, to := randomDocument(rng, 4).ForFollowers(), randomDocument(rng, 7).ForFollowers()
		got, ok := from.Apply(Diff(from, to))
		c.Assert(ok, qt.IsTrue)
		slices.SortFunc(got.Routes, func(a, b Route) int { return a.Address.Compare(b.Address) })
		c.Assert(got.Version, qt.Equals, to.Version)
		c.Assert(slices.EqualFunc(got.Routes, to.Routes, Route.equal), qt.IsTrue, qt.Commentf("%v, want %v", got.Routes, to.Routes))
	}
}

// Guards against followers that keep the settings of all services after a document that
// has none.
func TestDeltaDropsAllServiceSettings(t *testing.T) {
	c := qt.New(t)
	from := &Document{Version: 1, ServiceSettings: []ServiceSettings{{Name: "orders"}}}
	to := &Document{Version: 2}
	data, err := codec.Marshal(Diff(from, to))
	c.Assert(err, qt.IsNil)
	var received Delta
	c.Assert(codec.Unmarshal(data, &received), qt.IsNil)
	got, ok := from.Apply(&received)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got.ServiceSettings, qt.HasLen, 0)
}

func TestDeltaForAnotherVersion(t *testing.T) {
	from, to := &Document{Version: 4}, &Document{Version: 7}
	_, ok := (&Document{Version: 5}).Apply(Diff(from, to))
	qt.Assert(t, ok, qt.IsFalse)
}

// A changed route is the only one in the delta, however many others there are.
func TestDeltaHoldsOnlyChanges(t *testing.T) {
	c := qt.New(t)
	from := &Document{Version: 1}
	for i := range 1800 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		from.Routes = append(from.Routes, Route{Address: address, Targets: []Target{{Service: "s", Weight: 1}}})
	}
	to := &Document{Version: 2, Routes: slices.Clone(from.Routes[1:])}
	to.Routes[4].Aim = 300
	d := Diff(from, to)
	c.Assert(slices.Equal(d.Removed, []netip.AddrPort{from.Routes[0].Address}), qt.IsTrue, qt.Commentf("%v", d.Removed))
	c.Assert(d.Changed, qt.HasLen, 1)
	c.Assert(d.Changed[0].Address, qt.Equals, from.Routes[5].Address)
}
