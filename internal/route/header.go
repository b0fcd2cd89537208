package route

import (
	"encoding/binary"
	"net/netip"

	"greengagequay/internal/fault"
	"greengagequay/internal/table"
)

// Stage determines what the receiver of a header does.
type Stage uint8

// The stages.
const (
	ToHome   Stage = iota + 1 // decide on the packet as the home of the bucket
	ToBackup                  // record the flow and forward the packet
	Confirm                   // mark the record as held by the backups; no packet follows
)

// maxHops is how many times a packet may be relayed towards its home.
const maxHops = 2

// Header precedes a relayed packet.
type Header struct {
	Stage    Stage
	Hops     uint8            // number of relays towards the home so far
	Known    bool             // Backend takes precedence over the receiver's own record
	Home     table.HostNum    // at stages ToBackup and Confirm: the home that has the flow recorded
	Next     table.HostNum    // backup after the receiver, or 0 if there is none
	Backend  table.BackendNum // ToHome: for flows without a record, by the sender's table; ToBackup: proposed; Confirm: recorded
	Revision uint64           // revision of the sender's table
	Flow     uint64           // fingerprint of the flow
	Source   netip.AddrPort   // where the packet came from; a reset is sent there
}

// HeaderBytes is the size of a header on the wire.
const HeaderBytes = 52

// headerVersion is the first byte of a header. It identifies the format.
const headerVersion = 0xa1

// Append appends the wire form of the header to out.
func (h Header) Append(out []byte) []byte {
	known := byte(0)
	if h.Known {
		known = 1
	}
	out = append(out, headerVersion, byte(h.Stage), h.Hops, known)
	out = binary.LittleEndian.AppendUint32(out, uint32(h.Home))
	out = binary.LittleEndian.AppendUint32(out, uint32(h.Next))
	out = binary.LittleEndian.AppendUint32(out, uint32(h.Backend))
	out = binary.LittleEndian.AppendUint64(out, h.Revision)
	out = binary.LittleEndian.AppendUint64(out, h.Flow)
	source := netip.IPv6Unspecified().As16()
	if h.Source.IsValid() {
		source = h.Source.Addr().As16()
	}
	out = append(out, source[:]...)
	out = binary.LittleEndian.AppendUint16(out, h.Source.Port())
	return append(out, 0, 0)
}

// ParseHeader returns the header and the packet that follows it.
func ParseHeader(data []byte) (Header, []byte, error) {
	if len(data) < HeaderBytes {
		return Header{}, nil, malformedHeader("it is truncated")
	}
	if data[0] != headerVersion {
		return Header{}, nil, malformedHeader("its version is unknown")
	}
	h := Header{Stage: Stage(data[1]), Hops: data[2], Known: data[3] == 1}
	if h.Stage < ToHome || h.Stage > Confirm {
		return Header{}, nil, malformedHeader("its stage is unknown")
	}
	h.Home = table.HostNum(binary.LittleEndian.Uint32(data[4:]))
	h.Next = table.HostNum(binary.LittleEndian.Uint32(data[8:]))
	h.Backend = table.BackendNum(binary.LittleEndian.Uint32(data[12:]))
	h.Revision = binary.LittleEndian.Uint64(data[16:])
	h.Flow = binary.LittleEndian.Uint64(data[24:])
	addr := netip.AddrFrom16([16]byte(data[32:48])).Unmap()
	h.Source = netip.AddrPortFrom(addr, binary.LittleEndian.Uint16(data[48:]))
	return h, data[HeaderBytes:], nil
}

func malformedHeader(why string) error {
	return fault.New(fault.Invalid, "run the same version on all entry hosts", "malformed relay header: %s", why)
}
