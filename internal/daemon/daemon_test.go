package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/logs"
)

// startOne starts one host that is both an entry host and a control host.
func startOne(t *testing.T) *Daemon {
	const anyPort = "127.0.0.1:0"
	b, err := Bind(config.Config{
		Name: "rvk-a-1", Zone: "rvk-a", Roles: []config.Role{config.Entry, config.Control}, Data: t.TempDir(), Bootstrap: true,
		RPC: anyPort, API: anyPort, Gossip: anyPort, Packets: anyPort, Relay: anyPort, Requests: anyPort,
		Listeners: map[string]string{"pantanir": anyPort},
		Log:       config.Log{Level: "warn", Format: "text"},
	})
	qt.Assert(t, err, qt.IsNil)
	b.Config.Control = []config.Peer{{Name: "rvk-a-1", RPC: b.Config.RPC}}
	d, err := Start(b, logs.Discard(), clock.Real{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(d.Kill)
	return d
}

// Random bytes on any port must not stop the host.
func TestGarbageOnEveryPort(t *testing.T) {
	c := qt.New(t)
	d := startOne(t)
	r := rand.New(rand.NewPCG(1, 1))
	garbage := func() []byte {
		data := make([]byte, 1+r.IntN(2000))
		for i := range data {
			data[i] = byte(r.Uint32())
		}
		return data
	}
	for range 50 {
		for _, addr := range []string{d.Config.RPC, d.Config.API, d.Config.Requests, d.Config.Listeners["pantanir"]} {
			conn, err := net.Dial("tcp", addr)
			if errors.Is(err, syscall.ECONNRESET) {
				continue // a listener without a backend server resets connections at once
			}
			c.Assert(err, qt.IsNil)
			_, _ = conn.Write(garbage())
			_ = conn.Close()
		}
		for _, addr := range []string{d.Config.Packets, d.Config.Relay, d.Config.Gossip} {
			conn, err := net.Dial("udp", addr)
			c.Assert(err, qt.IsNil)
			_, _ = conn.Write(garbage())
			_ = conn.Close()
		}
	}
	resp, err := http.Get("http://" + d.Config.API + "/v1/status")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

func TestStopEndsAllParts(t *testing.T) {
	c := qt.New(t)
	d := startOne(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(d.Stop(ctx), qt.IsNil)
	_, err := net.Dial("tcp", d.Config.RPC)
	c.Assert(err, qt.IsNotNil)
}
