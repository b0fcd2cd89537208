package fleet

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/steering"
)

// Guards against packets that came before the first state and make the host load the
// states of all control hosts right after it, which keeps the link from callers' packets.
func TestPacketsBeforeTheFirstStateMissNoServers(t *testing.T) {
	c := qt.New(t)
	h := &EntryHost{held: newHeldPackets(metrics.New()), steerer: steering.New(steering.Config{})}
	h.controlHosts = newControlHosts(t.Context(), feed.HostInfo{}, nil, h)
	unknown := steering.Decision{Verdict: steering.Drop, Reason: steering.UnknownToken}
	h.recordMissing(time.Second, unknown)
	server := catalog.Record{Heartbeat: catalog.Heartbeat{ID: "x", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}}
	h.steerer.SetTable(time.Second, steering.Build(&document.Document{Version: 1}, []catalog.Record{server}))
	c.Assert(h.isMissingServers(time.Second), qt.IsFalse)
	h.recordMissing(time.Second, unknown)
	c.Assert(h.isMissingServers(time.Second), qt.IsTrue)
}
