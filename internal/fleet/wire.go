package fleet

import (
	"context"
	"net/http"
	"net/netip"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/steering"
)

// PacketFormat is how packets look between callers and backend servers. Its
// methods do not keep the datagram.
type PacketFormat interface {
	// Parse reads what steering needs of a datagram.
	Parse(datagram []byte) (steering.Packet, error)
	// SetToken writes the token of a backend server into a datagram.
	SetToken(datagram []byte, t steering.Token)
	// PutTarget writes what a backend server expects before a datagram: a
	// number that names it. Target has TargetBytes bytes.
	PutTarget(target []byte, id string)
	// AppendReset appends a reset that answers a datagram.
	AppendReset(buf, datagram []byte) []byte
	// RequestID returns the id of the request that starts in a datagram, or
	// empty if none is readable.
	RequestID(datagram []byte) string
}

// Sizes of datagrams.
const (
	TargetBytes      = 8    // before the packet, to a backend server
	maxDatagramBytes = 2048 // longer ones are cut, and then refused
)

// Operator is what a control host does for operators and backend servers.
type Operator interface {
	// Put puts a document in force, and returns once it is durable on a quorum.
	Put(ctx context.Context, d *document.Document) error
	// Get returns the newest document, or an error of kind NotCurrent.
	Get(ctx context.Context) (*document.Document, error)
	// Announce takes a heartbeat of a backend server.
	Announce(h catalog.Heartbeat)
	// Leave notes that a backend server has ended. A born of 0 means the start
	// that is known.
	Leave(id string, born int64)
	// Malformed notes an announcement that could not be read.
	Malformed(id string, err error)
}

// Adapter is how the deployment speaks.
type Adapter interface {
	Packets() PacketFormat
	// Control returns the handler of a control host's API. Further heartbeats
	// are asked for at address.
	Control(o Operator, address netip.AddrPort) http.Handler
	// Readiness returns the handler of an entry host's readiness check.
	Readiness(ready func() bool) http.Handler
}
