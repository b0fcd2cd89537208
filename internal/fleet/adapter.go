package fleet

import (
	"context"
	"net/http"
	"net/netip"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/steering"
)

// PacketFormat is the format of packets between callers and backend servers. Its
// methods do not retain the datagram.
type PacketFormat interface {
	// Parse returns the properties of a datagram that steering uses.
	Parse(datagram []byte) (steering.Packet, error)
	// SetToken writes the token of a backend server into a datagram.
	SetToken(datagram []byte, t steering.Token)
	// PutTarget writes the header that a backend server expects before a
	// datagram: a number that identifies the server. Target has TargetBytes
	// bytes.
	PutTarget(target []byte, id string)
	// AppendReset appends to buf a reset that answers a datagram.
	AppendReset(buf, datagram []byte) []byte
	// AppendResetTo appends to buf a reset of a flow. ack is the last acknowledgement
	// number of the caller.
	AppendResetTo(buf []byte, f steering.Flow, ack uint32) []byte
	// MaxData returns the largest number of data bytes in a packet. In a request of
	// several packets all but the last one hold that many.
	MaxData() int
	// RequestID returns the id of the request that starts in a datagram, or
	// empty if it contains no id.
	RequestID(datagram []byte) string
}

// Sizes of datagrams.
const (
	TargetBytes      = 8    // header before a packet to a backend server
	maxDatagramBytes = 2048 // longer datagrams are truncated, and then dropped as malformed
)

// ControlAPI holds the calls that a control host serves to operators and backend
// servers.
type ControlAPI interface {
	// Put commits a document, and returns once it is durable on a quorum.
	Put(ctx context.Context, d *document.Document) error
	// Get returns the newest document, or an error of kind NotCurrent.
	Get(ctx context.Context) (*document.Document, error)
	// Announce handles an announcement of a backend server. After an error it has no
	// effect, and the backend server should announce itself to another host.
	Announce(h catalog.Heartbeat) error
	// Leave handles the departure of a backend server that started at born, in
	// Unix milliseconds, or 0 if the call does not say, see catalog.Catalog.Leave.
	Leave(id string, born int64)
	// Evacuate starts or ends the evacuation of a zone, and returns once the order is
	// durable on a quorum.
	Evacuate(ctx context.Context, zone string, start bool) error
	// MalformedDocument handles a document that is invalid or could not be parsed.
	MalformedDocument(err error)
	// Malformed handles an announcement or a departure that could not be parsed.
	Malformed(id string, err error)
}

// Adapter connects this package to the formats and calls of a platform.
type Adapter interface {
	// Packets returns the format of packets.
	Packets() PacketFormat
	// Control returns the handler of a control host's API. It asks backend
	// servers to send further announcements to address.
	Control(api ControlAPI, address netip.AddrPort) http.Handler
	// Features returns the parts of the product that the contracts of a deployment
	// switch on.
	Features(contracts []string) Features
	// Readiness returns the handler of an entry host's readiness check.
	Readiness(ready func() bool) http.Handler
}
