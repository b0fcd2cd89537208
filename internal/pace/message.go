// Package pace decides how large a share of a service's new flows each backend server
// gets, from how it answers. Entry hosts send samples of answers to the control hosts
// that they follow. A control host compares each backend server with the others of its
// service and sends the shares of those that differ to its followers. The package uses
// no I/O and no clock.
package pace

// Kind is what became of an opening packet or a request.
type Kind uint8

// The kinds.
const (
	Answered   Kind = iota // the request was answered
	Refused                // the backend server refused the connection
	Unanswered             // the request got no answer in time
)

// Sample is one observation of a backend server by an entry host.
type Sample struct {
	Token     uint32 `cbor:"1,keyasint"` // token of the backend server
	Route     uint32 `cbor:"2,keyasint"` // hash of the route's address
	Kind      Kind   `cbor:"3,keyasint,omitempty"`
	LatencyMs uint16 `cbor:"4,keyasint,omitempty"` // from the request to the first part of its answer
	Bytes     uint16 `cbor:"5,keyasint,omitempty"` // size of the first part of the answer
}

// FullShare is the share of a backend server that answers as is usual for its service.
const FullShare = 16

// Level is the share of a backend server, in sixteenths of the usual one.
type Level struct {
	Token uint32 `cbor:"1,keyasint"`
	Born  int64  `cbor:"2,keyasint"` // start time of the backend server in Unix milliseconds
	Share uint8  `cbor:"3,keyasint"` // from 1 to FullShare
}
