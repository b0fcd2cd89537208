package route_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// Guards against a walk that ends elsewhere than the packets, or that does not end.
func TestWalkEndsWhereAPacketGoes(t *testing.T) {
	for _, phase := range []table.Phase{table.Stable, table.Prepare, table.Move, table.Settle} {
		for _, home := range []table.HostNum{1, 2, 9} {
			c := qt.New(t)
			p := newPair(phase, func(b *table.Bucket) { b.Home = home })
			comment := qt.Commentf("phase %d, home %d", phase, home)
			opening := openingPacket(benchFlows()[0])
			hops := route.Walk(p.table, "host", &opening)
			last := hops[len(hops)-1].Verdict
			switch {
			case phase != table.Stable && home == 9:
				c.Check(last.Reason, qt.Equals, route.NoHome, comment)
			case home == 2 && phase != table.Stable:
				c.Check(hops[1].Host, qt.Equals, table.HostNum(2), comment)
				c.Check(last.Action, qt.Equals, route.Forward, comment)
			default:
				want, _ := p.send(opening)
				c.Check(last, qt.Equals, want, comment)
			}
		}
	}
}
