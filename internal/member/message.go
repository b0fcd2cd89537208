package member

import (
	"fmt"

	"greengagequay/internal/codec"
	"greengagequay/internal/fault"
	"greengagequay/internal/model"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping         Kind = iota + 1 // asks for an Ack
	Ack                          // answers a Ping, a PingReq whose probe succeeded, or a Digest without differences
	PingReq                      // asks the receiver to probe Target
	Digest                       // digests of the sender's zone and some others
	SliceDigests                 // digests of the slices of one zone
	Versions                     // versions of the records in some slices of a zone
	Records                      // records that the receiver asked for, lacks or has in another version
	Want                         // asks for the records with the listed hashes
	Report                       // progress of a zone, from a bridge to the leading control host
	Answer                       // answers a Report with a Heartbeat
	Updates                      // carries new records
	Direct                       // carries Data to one host
)

// Message is one datagram between hosts.
type Message struct {
	Kind      Kind         `cbor:"1,keyasint"`
	From      string       `cbor:"2,keyasint,omitempty"` // name of the sender
	Seq       uint64       `cbor:"3,keyasint,omitempty"` // number of a probe
	Target    string       `cbor:"4,keyasint,omitempty"` // host to probe
	Zone      string       `cbor:"5,keyasint,omitempty"` // zone described by SliceDigests, Versions and Report
	Mask      uint32       `cbor:"6,keyasint,omitempty"` // slices described by Versions, one bit each
	Hosts     []HostRecord `cbor:"7,keyasint,omitempty"`
	Items     []Item       `cbor:"8,keyasint,omitempty"`
	Zones     []ZoneDigest `cbor:"9,keyasint,omitempty"`
	Slices    []uint32     `cbor:"10,keyasint,omitempty"`
	Packed    []byte       `cbor:"11,keyasint,omitempty"` // for each record: hash of the key, hash of key and version
	Wanted    []uint32     `cbor:"12,keyasint,omitempty"` // hashes of keys
	Heartbeat *Heartbeat   `cbor:"13,keyasint,omitempty"`
	Progress  *Progress    `cbor:"14,keyasint,omitempty"`
	Summary   *Summary     `cbor:"15,keyasint,omitempty"`
	Cut       []string     `cbor:"16,keyasint,omitempty"` // zones that the sender cannot reach, if it is a bridge
	Data      []byte       `cbor:"18,keyasint,omitempty"` // payload of another package
	Bridge    bool         `cbor:"17,keyasint,omitempty"` // the sender is a bridge and Cut is valid
}

// HostRecord is what is known of a host. Of two records the one with the higher
// version wins, then the one with the higher state.
type HostRecord struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Zone     string
	Roles    uint8
	Version  uint64 // incarnation, then a count of refutations and role changes in the low bits
	State    uint8
	RPC      string
	Gossip   string
	Relay    string
	Accusers []string // if suspect or dead: names of the hosts whose probes of it failed
}

// Item is a versioned record that another package publishes. Of two versions of
// an item the higher one wins, then the one whose body compares greater.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Zone    string
	Version uint64
	Gone    bool // the item is a tombstone
	Body    []byte
}

// ZoneDigest is the digest of all live records of a zone.
type ZoneDigest struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	Sum  uint32
}

// Values of HostRecord.State. At equal versions the higher one wins.
const (
	rankAlive uint8 = iota
	rankSuspect
	rankDead
	rankLeft
)

// Bits of HostRecord.Roles.
const (
	roleEntry uint8 = 1 << iota
	roleControl
	roleLeaving // the host is handing over its work
)

var states = []model.HostState{model.Alive, model.Suspect, model.Dead, model.Left}

func (r *HostRecord) live() bool { return r.State <= rankSuspect }

func (r *HostRecord) incarnation() uint64 { return r.Version >> versionShift }

func (r *HostRecord) size() int {
	n := 20 + len(r.Name) + len(r.Zone) + len(r.RPC) + len(r.Gossip) + len(r.Relay)
	for _, a := range r.Accusers {
		n += 2 + len(a)
	}
	return n
}

func (i *Item) size() int { return 20 + len(i.Key) + len(i.Zone) + len(i.Body) }

// Encode returns the datagram of a message.
func Encode(m *Message) ([]byte, error) {
	data, err := codec.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode gossip message: %w", err)
	}
	if len(data) > MaxDatagram {
		return nil, fault.New(fault.Internal, "report a defect", "gossip message of %d bytes exceeds a datagram", len(data))
	}
	return data, nil
}

// decoder accepts all that fits into a datagram.
var decoder = codec.NewDecoder(codec.Options{MaxArrayElements: MaxDatagram, MaxMapPairs: 64, MaxNestedLevels: 8})

// Decode parses a datagram and checks the fields on which the core relies.
func Decode(data []byte) (*Message, error) {
	var m Message
	if len(data) > MaxDatagram {
		return nil, fault.New(fault.Invalid, "check which host sent the datagram", "gossip datagram has %d bytes, more than %d", len(data), MaxDatagram)
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		return nil, fault.New(fault.Invalid, "check which host sent the datagram", "decode gossip datagram: %w", err)
	}
	return &m, m.check()
}

func (m *Message) check() error {
	ok := m.Kind >= Ping && m.Kind <= Direct && m.From != ""
	for i := range m.Hosts {
		r := &m.Hosts[i]
		ok = ok && r.Name != "" && r.Zone != "" && r.State <= rankLeft
	}
	for i := range m.Items {
		ok = ok && m.Items[i].Key != "" && m.Items[i].Zone != ""
	}
	if !ok {
		return fault.New(fault.Invalid, "check which host sent the message", "gossip message of kind %d has a field out of range", m.Kind)
	}
	return nil
}
