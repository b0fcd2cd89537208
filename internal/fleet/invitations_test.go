package fleet

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/codec"
	"greengagequay/internal/feed"
)

// Guards against datagrams that make an entry host dial what is no control host.
func TestInvitationsAreChecked(t *testing.T) {
	c := qt.New(t)
	valid := feed.HostInfo{Name: "c1", Zone: "z1", Addr: "10.0.0.1:7000", Control: true, ID: 1 << 63}
	parse := func(change func(*feed.HostInfo)) bool {
		info := valid
		change(&info)
		data, err := codec.Marshal(info)
		c.Assert(err, qt.IsNil)
		_, ok := parseInvitation(data)
		return ok
	}
	c.Assert(parse(func(*feed.HostInfo) {}), qt.IsTrue)
	for name, change := range map[string]func(*feed.HostInfo){
		"an entry host": func(h *feed.HostInfo) { h.Control = false },
		"no name":       func(h *feed.HostInfo) { h.Name = "" },
		"a long name":   func(h *feed.HostInfo) { h.Name = strings.Repeat("n", maxHostNameBytes+1) },
		"a long zone":   func(h *feed.HostInfo) { h.Zone = strings.Repeat("z", maxZoneNameBytes+1) },
		"a host name":   func(h *feed.HostInfo) { h.Addr = "localhost:7000" },
		"no port":       func(h *feed.HostInfo) { h.Addr = "10.0.0.1:0" },
		"any address":   func(h *feed.HostInfo) { h.Addr = "0.0.0.0:7000" },
	} {
		c.Check(parse(change), qt.IsFalse, qt.Commentf("%s", name))
	}
}

func FuzzInvitation(f *testing.F) {
	data, _ := codec.Marshal(feed.HostInfo{Name: "c1", Addr: "10.0.0.1:7000", Control: true})
	f.Add(data)
	f.Add([]byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(_ *testing.T, datagram []byte) { parseInvitation(datagram) })
}

// Guards against a list that grows without limit, or loses the hosts seen last.
func TestEntryHostHistoryKeepsTheLatest(t *testing.T) {
	c := qt.New(t)
	e := newEntryHostHistory()
	var list []knownEntryHost
	for i := range maxKnownEntryHosts + 10 {
		list = append(list, knownEntryHost{Host: feed.HostInfo{Addr: strings.Repeat("x", i%64) + string(rune(i+1000))}, LastSeen: int64(i)})
	}
	e.add(list)
	c.Assert(e.list(), qt.HasLen, maxKnownEntryHosts)
	c.Assert(e.byAddr[list[9].Host.Addr].LastSeen, qt.Equals, int64(0))
	c.Assert(e.byAddr[list[10].Host.Addr].LastSeen, qt.Equals, int64(10))
	revision := e.latestRevision()
	e.record(time.Unix(1<<40, 0), list[10].Host)
	c.Assert(e.latestRevision(), qt.Equals, revision)
}
