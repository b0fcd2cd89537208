package fleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
)

// routesDocument returns a document with n routes.
func routesDocument(version uint64, n int) *document.Document {
	d := &document.Document{Version: version}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		d.Routes = append(d.Routes, document.Route{Name: fmt.Sprint("r", i), Address: address, Timeout: 1000})
	}
	return d
}

func TestRecentDocuments(t *testing.T) {
	c := qt.New(t)
	var r recentDocuments
	d, delta := r.next(0, true)
	c.Assert(d == nil && delta == nil, qt.IsTrue, qt.Commentf("no document yet"))
	for version := uint64(1); version <= maxRecentDocuments+1; version++ {
		r.add(routesDocument(version, int(version)))
	}
	const latest = maxRecentDocuments + 1
	d, delta = r.next(latest-1, true)
	c.Assert(d, qt.IsNil)
	c.Assert(delta.From, qt.Equals, uint64(latest-1))
	c.Assert(delta.Changed, qt.HasLen, 1)
	d, _ = r.next(latest-1, false)
	c.Assert(d.Version, qt.Equals, uint64(latest), qt.Commentf("the follower does not apply deltas"))
	d, _ = r.next(1, true)
	c.Assert(d.Version, qt.Equals, uint64(latest), qt.Commentf("version 1 is no longer kept"))
	d, _ = r.next(0, true)
	c.Assert(d.Version, qt.Equals, uint64(latest), qt.Commentf("the follower has no document"))
}

// An entry host applies each delta to the document of the control host that sent
// it, whatever other control hosts have sent.
func TestDeltasOfTwoControlHosts(t *testing.T) {
	c := qt.New(t)
	log := eventlog.New(io.Discard, "e1", time.Now)
	defer log.Close(time.Second)
	h := &EntryHost{log: log, documents: map[string]*document.Document{}}
	h.controlHosts = newControlHosts(context.Background(), feed.HostInfo{}, nil, h)
	one, two, three := routesDocument(1, 3), routesDocument(2, 5), routesDocument(3, 4)
	h.receiveDocument("a", feed.Update{Document: one})
	h.receiveDocument("b", feed.Update{Document: two})
	d := h.receiveDocument("a", feed.Update{Delta: document.Diff(one, three)})
	c.Assert(d.Version, qt.Equals, uint64(3))
	c.Assert(d.Routes, qt.HasLen, 4)
	d = h.receiveDocument("b", feed.Update{Delta: document.Diff(two, three)})
	c.Assert(d.Routes, qt.HasLen, 4)
	c.Assert(h.receiveDocument("b", feed.Update{Delta: document.Diff(two, three)}), qt.IsNil, qt.Commentf("it does not fit any more"))
	c.Assert(h.receiveDocument("c", feed.Update{Delta: document.Diff(two, three)}), qt.IsNil, qt.Commentf("no document to apply it to"))
	c.Assert(h.receiveDocument("a", feed.Update{}), qt.IsNil)
}
