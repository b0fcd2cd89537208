package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
)

func TestRateAndConcurrency(t *testing.T) {
	c := qt.New(t)
	now := clock.NewFake(time.Unix(100, 0))
	f := &Filter{Clock: now}
	bakery, shop := usageKey{"pantanir", "bakery"}, usageKey{"pantanir", "shop"}
	c.Assert(f.acquire(bakery, 2, 0), qt.IsNil)
	c.Assert(f.acquire(bakery, 2, 0), qt.IsNil)
	c.Assert(fault.KindOf(f.acquire(bakery, 2, 0)), qt.Equals, fault.Limited)
	c.Assert(f.acquire(shop, 2, 0), qt.IsNil)
	now.Advance(500 * time.Millisecond)
	c.Assert(f.acquire(bakery, 2, 0), qt.IsNil)
	c.Assert(fault.KindOf(f.acquire(bakery, 0, 3)), qt.Equals, fault.Limited)
	f.release(bakery)
	c.Assert(f.acquire(bakery, 0, 3), qt.IsNil)
}
