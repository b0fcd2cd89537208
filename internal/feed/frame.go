// Package feed sends state from control hosts to their followers: entry hosts and
// the other control hosts. Each follower has one TCP connection to each control
// host that it follows. A follower first identifies itself, and then receives
// updates. Both sides send heartbeats, and close the connection if they receive
// nothing for the time of three heartbeats.
package feed

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

// Intervals and timeouts of a connection.
const (
	heartbeatInterval = 500 * time.Millisecond  // each side sends a heartbeat at this interval, also when it sends other frames
	readTimeout       = 1500 * time.Millisecond // three heartbeat intervals
	writeTimeout      = time.Second
)

// maxFrameBytes limits the size of a frame. A document of thousands of routes
// fits.
const maxFrameBytes = 8 << 20

// lengthBytes is the size of the length before each frame.
const lengthBytes = 4

// HostInfo is what a host sends about itself.
type HostInfo struct {
	Name    string
	Zone    string
	Addr    string  // IP:port of its feed; entry hosts serve no feed, but are identified by this address
	Control bool    // whether it is a control host
	ID      raft.ID // ID of its data folder, 0 for an entry host
}

// Hello is the first frame that a follower sends. The follower's later frames are
// reports.
type Hello struct {
	From HostInfo
}

// Report is a frame from a follower. An empty one is a heartbeat.
type Report struct {
	Suspects []Suspect
}

// Suspect is a backend server that left an opening packet of a caller unanswered.
type Suspect struct {
	ID   string
	Born int64 // start time of the backend server in Unix milliseconds
}

// Update is a frame to a follower. A heartbeat has no field but Current.
type Update struct {
	From     HostInfo           // the sender, in its first update only
	Peers    []HostInfo         // control hosts that the sender follows, in the first update and when they change
	Current  bool               // whether the sender reaches a quorum
	Document *document.Document // to entry hosts: a document that the follower lacks, without its source
	Records  []catalog.Record   // records of backend servers that changed since the last update
	Suspects []Suspect          // to entry hosts: suspects that other entry hosts reported since the last update
}

func writeFrame(w io.Writer, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(data)), uint32(len(data)))
	if _, err := w.Write(append(buf, data...)); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

func readFrame(r io.Reader, into any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return fault.New(fault.Invalid, "check that both hosts run the same version", "a frame of %d bytes is longer than %d", n, maxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return fault.New(fault.Invalid, "check that both hosts run the same version", "decode frame: %w", err)
	}
	return nil
}
