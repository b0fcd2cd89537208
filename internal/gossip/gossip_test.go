package gossip_test

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/gossip"
	"greengagequay/internal/logs"
	"greengagequay/internal/metrics"
	"greengagequay/internal/model"
)

func TestKey(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "key")
	c.Assert(os.WriteFile(file, []byte("0123456789abcdef\n"), 0o600), qt.IsNil)
	key, err := gossip.LoadKey(file)
	c.Assert(err, qt.IsNil)
	sealed := key.Seal([]byte("hello"))
	data, ok := key.Open(sealed)
	c.Check(ok, qt.IsTrue)
	c.Check(string(data), qt.Equals, "hello")
	for i := range sealed {
		forged := append([]byte(nil), sealed...)
		forged[i] ^= 1
		_, ok := key.Open(forged)
		c.Check(ok, qt.IsFalse)
	}
	_, ok = key.Open([]byte("short"))
	c.Check(ok, qt.IsFalse)
	c.Assert(os.WriteFile(file, []byte("short"), 0o600), qt.IsNil)
	_, err = gossip.LoadKey(file)
	c.Check(err, qt.ErrorMatches, ".*5 bytes.*16 random bytes.*")
}

// startNode starts a node on the loopback interface.
func startNode(t *testing.T, name string, key gossip.Key, seeds ...string) *gossip.Node {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	n := gossip.New(gossip.Options{
		Conn: conn, Key: key, Seeds: seeds, Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, uint64(len(name)))),
		Self:    model.Host{Name: name, Zone: "z", Incarnation: 1, Gossip: conn.LocalAddr().String(), State: model.Alive},
		Metrics: metrics.New(), Log: logs.Discard().Component("members"), Bytes: new(atomic.Int64),
		Revision: func() uint64 { return 7 }, Leading: func() bool { return name == "a" },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go n.Receive()
	go n.Run(ctx)
	t.Cleanup(func() { cancel(); _ = conn.Close() })
	return n
}

// waitFor waits until the condition holds. It checks the condition at each event of
// the node.
func waitFor(n *gossip.Node, holds func() bool) {
	for {
		changed := n.Subscribe()
		if holds() {
			return
		}
		<-changed
	}
}

func TestNodesJoinAndLeave(t *testing.T) {
	c := qt.New(t)
	key := gossip.Key("0123456789abcdef")
	a := startNode(t, "a", key)
	seed := a.Hosts()[0].Gossip
	bb := startNode(t, "bb", key, seed)
	ccc := startNode(t, "ccc", key, seed)
	stranger := startNode(t, "dddd", gossip.Key("another key here"), seed)
	for _, n := range []*gossip.Node{a, bb, ccc} {
		waitFor(n, func() bool { return len(n.Hosts()) == 3 })
	}
	c.Check(stranger.Hosts(), qt.HasLen, 1)
	ccc.Leave()
	waitFor(a, func() bool { return a.Hosts()[2].State == model.Left })
}
