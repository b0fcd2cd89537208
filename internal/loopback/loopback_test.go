package loopback

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAnyPort(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for range maxAddresses {
		addr := AnyPort()
		c.Assert(seen[addr], qt.IsFalse, qt.Commentf("%s", addr))
		seen[addr] = true
		l, err := net.Listen("tcp", addr)
		c.Assert(err, qt.IsNil)
		c.Assert(l.Addr().(*net.TCPAddr).IP.IsLoopback(), qt.IsTrue)
		c.Assert(l.Close(), qt.IsNil)
	}
}
