// Package feed carries state from control hosts to those that follow them, over
// one TCP connection each: entry hosts, and the other control hosts. A follower
// says who it is and gets updates; both sides send something at least every
// beat, and drop the connection when the other is silent.
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

// Times of a connection.
const (
	beatInterval = 500 * time.Millisecond  // between two frames of a side that has no news
	silenceLimit = 1500 * time.Millisecond // three lost beats
	writeTimeout = time.Second
)

// maxFrameBytes bounds a frame: a document of thousands of routes fits.
const maxFrameBytes = 8 << 20

const lengthBytes = 4

// Presence is what a host tells of itself.
type Presence struct {
	Name    string
	Zone    string
	Addr    string  // internal IP:port
	Control bool    // it is a control host
	ID      raft.ID // of its data folder, 0 for an entry host
}

// Hello is the first frame of a follower. Its later frames are reports.
type Hello struct {
	From Presence
}

// Report is what a follower has seen. An empty one is a beat.
type Report struct {
	Suspects []Suspect
}

// Suspect is a backend server that left packets of a caller without an answer.
type Suspect struct {
	ID   string
	Born int64
}

// Update is one frame to a follower. An empty one is a beat.
type Update struct {
	From     Presence
	Peers    []Presence // control hosts that the sender is in touch with
	Current  bool       // the sender is in touch with a quorum
	Document *document.Document
	Records  []catalog.Record
	Suspects []Suspect
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
