// Package feed sends state from control hosts to their followers: entry hosts and
// the other control hosts. Each follower has one TCP connection to each control
// host that it follows. A follower first identifies itself, and then receives
// updates. Both sides send heartbeats, and close the connection if they receive
// nothing for the time of three heartbeats.
//
// The first update holds the whole state. A follower on a slow link can defer it:
// then the server only sends its HostInfo until the follower asks for the state,
// so that the follower can receive the state of one server at a time.
package feed

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"greengagequay/internal/admission"
	"greengagequay/internal/catalog"
	"greengagequay/internal/codec"
	"greengagequay/internal/document"
	"greengagequay/internal/evacuation"
	"greengagequay/internal/fault"
	"greengagequay/internal/pace"
	"greengagequay/internal/raft"
	"greengagequay/internal/spread"
)

// maxFrameBytes limits the size of a frame before compression. The largest document
// that operators can send fits, together with 10,000 records of the longest names.
const maxFrameBytes = 32 << 20

// Each frame starts with a header of 4 bytes: the length of its data, with
// compressedBit set if the data is compressed (DEFLATE).
const (
	headerBytes        = 4
	compressedBit      = 1 << 31
	minCompressedBytes = 1 << 10 // smaller frames are sent uncompressed
)

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
	From       HostInfo
	Compressed bool // whether large frames are to be compressed, as for an entry host on a slow link
	Deltas     bool // whether the follower applies Update.Delta
	Deferred   bool // whether the server sends no state until the follower asks for it with Report.Sync
}

// Report is a frame from a follower. An empty one is a heartbeat.
type Report struct {
	Suspects []Suspect
	Sync     bool          // asks for the state that Hello.Deferred deferred
	Samples  []pace.Sample `cbor:",omitempty"` // answers of backend servers since the last report
	// Unsampled is the number of outcomes that Samples leaves out. Failures come first, so
	// these are answers if Samples holds any answer.
	Unsampled int `cbor:",omitempty"`
	// DemandElsewhere is set if the follower follows several control hosts, and another one
	// counts the demand that the samples show.
	DemandElsewhere bool `cbor:",omitempty"`
}

// isHeartbeat reports whether the report only shows that the follower is alive.
func (r *Report) isHeartbeat() bool { return len(r.Suspects) == 0 && len(r.Samples) == 0 }

// Evacuations holds the operator's orders about zones.
type Evacuations struct {
	Set evacuation.Set
	// Ended holds, for each zone whose evacuation has ended, how long ago the sender
	// applied that order.
	Ended map[string]time.Duration `cbor:",omitempty"`
}

// Suspect is a backend server that left an opening packet of a caller unanswered.
type Suspect struct {
	ID       string
	Born     int64  // start time of the backend server in Unix milliseconds
	Reporter string // feed address of the entry host that reported it, empty in its own report
}

// Update is a frame to a follower. A heartbeat has no fields but Current and
// Synced.
type Update struct {
	From     HostInfo           // the sender, in its greeting and in its first update with state
	Peers    []HostInfo         // control hosts that the sender follows, in the first update and when they change
	Current  bool               // whether the sender reaches a quorum
	Synced   bool               // whether the follower has received the sender's state with this update or before
	Document *document.Document // to entry hosts: a document that the follower lacks, with what entry hosts use
	Delta    *document.Delta    // to entry hosts, in place of Document: what changed since the last one on this connection
	Records  []catalog.Record   // records of backend servers that changed since the last update
	Suspects []Suspect          // to entry hosts: suspects that entry hosts reported since the last update
	// Evacuations is sent to entry hosts in the first update with state, or as soon as the
	// sender may send its set, and after each order that changed a zone.
	Evacuations *Evacuations       `cbor:",omitempty"`
	Levels      []pace.Level       `cbor:",omitempty"` // to entry hosts: shares of backend servers that changed since the last update
	Plan        []spread.ZoneShare `cbor:",omitempty"` // to entry hosts: the whole plan, if it changed since the last update
	HasPlan     bool               `cbor:",omitempty"` // whether Plan and Refusals are set, which may be empty
	// Refusals holds all refusals in force, together with Plan.
	Refusals   []admission.Refusal `cbor:",omitempty"`
	Demands    []spread.Demand     `cbor:",omitempty"` // to control hosts: demand of the sender's followers
	HasDemands bool                `cbor:",omitempty"` // whether Demands is set, which may be empty
	Samples    []pace.ZoneSamples  `cbor:",omitempty"` // to control hosts of the same zone: samples of backend servers with failures
	Followers  *[]HostInfo         `cbor:",omitempty"` // to control hosts: entry hosts that follow the sender, if they changed since the last update
}

// IsGreeting reports whether the update only identifies the sender, which has not
// sent its state.
func (u *Update) IsGreeting() bool { return u.From.Addr != "" && !u.hasState() }

// hasState reports whether the update, or one before it, held the state. Servers
// of versions that cannot defer do not set Synced.
func (u *Update) hasState() bool {
	return u.Synced || u.Document != nil || len(u.Records) > 0
}

// ages reports whether the update holds times that are relative to the moment at which
// it was made.
func (u *Update) ages() bool { return u.Evacuations != nil && len(u.Evacuations.Ended) > 0 }

// encodeFrame encodes a frame. It compresses a large one if compress is set.
func encodeFrame(v any, compress bool) ([]byte, error) {
	data, err := codec.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > maxFrameBytes {
		return nil, tooLong(len(data))
	}
	header := uint32(0)
	if compress && len(data) >= minCompressedBytes {
		if data, err = deflate(data); err != nil {
			return nil, fmt.Errorf("compress frame: %w", err)
		}
		header = compressedBit
	}
	header |= uint32(len(data))
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(data)), header)
	return append(frame, data...), nil
}

func deflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate decompresses data of at most maxFrameBytes.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxFrameBytes+1))
	if err == nil && len(out) > maxFrameBytes {
		err = tooLong(len(out))
	}
	return out, err
}

// isUndecodable reports whether readFrame failed because of the content of a frame,
// and not because the connection ended.
func isUndecodable(err error) bool { return fault.KindOf(err) == fault.Invalid }

const frameRemedy = "check that both hosts run the same version"

func tooLong(n int) error {
	return fault.New(fault.Invalid, frameRemedy, "a frame of %d bytes is longer than %d", n, maxFrameBytes)
}

// readFrame reads a frame into a message.
func readFrame(r io.Reader, into any) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	word := binary.BigEndian.Uint32(header[:])
	n := word &^ compressedBit
	if n > maxFrameBytes {
		return tooLong(int(n))
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	if word&compressedBit != 0 {
		var err error
		if data, err = inflate(data); err != nil {
			return fault.New(fault.Invalid, frameRemedy, "decompress frame: %w", err)
		}
	}
	if err := codec.Unmarshal(data, into); err != nil {
		return fault.New(fault.Invalid, frameRemedy, "decode frame: %w", err)
	}
	return nil
}
