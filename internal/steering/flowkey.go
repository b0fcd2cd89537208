package steering

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// flowKey identifies a flow in a map, which finds a number faster than a Flow. Over IPv4
// two flows to one route never have the same key; two to different routes hardly ever.
type flowKey uint64

// routeFactor is odd, so that different routes have different products, and spreads the
// bits of a route over the whole key.
const routeFactor = 0x9e37_79b9_7f4a_7c15

// key returns the key of the flow.
func (f Flow) key() flowKey {
	return flowKey(numberOf(f.Caller) ^ numberOf(f.Route)*routeFactor)
}

// numberOf returns an IPv4 address and its port as a number, and a hash of any other
// address and its port.
func numberOf(a netip.AddrPort) uint64 {
	if a.Addr().Is4() {
		b := a.Addr().As4()
		return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port())
	}
	b := a.Addr().As16()
	return xxhash.Sum64(binary.BigEndian.AppendUint16(b[:], a.Port()))
}
