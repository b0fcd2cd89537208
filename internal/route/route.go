// Package route decides where a packet goes. It is pure: table, packet and
// records in, verdict out.
package route

import (
	"greengagequay/internal/flow"
	"greengagequay/internal/table"
)

// Action is what an entry host does with a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota // discard; the sender sends it again
	Forward               // send to the backend server
	Relay                 // send to the bucket's home
	Reset                 // answer with a reset
)

// Reason tells why a packet was dropped or reset.
type Reason uint8

// The reasons.
const (
	None           Reason = iota
	UnknownService        // no service has the destination address
	NoBackend             // the service has no backend server
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Service *table.Service
	Backend table.BackendNum // of Forward
	Home    table.HostNum    // of Relay
}

// Route decides on a packet that came from the fabric.
func Route(t *table.Table, p *flow.Packet) Verdict {
	svc := t.ByAddress[p.Endpoint()]
	if svc == nil {
		return Verdict{Action: Drop, Reason: UnknownService}
	}
	bucket := &svc.Buckets[p.Hash(t.Seed)&svc.Mask]
	if bucket.Opening() == 0 {
		return Verdict{Action: Reset, Reason: NoBackend, Service: svc}
	}
	return Verdict{Action: Forward, Service: svc, Backend: bucket.Opening()}
}
