package registry

import (
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// KeyPrefix starts the keys of the items that hold announcements.
const KeyPrefix = "b/"

// maxRenewals is the number of renewals that fit one message.
const maxRenewals = 12

// body is the announcement in an item.
type body struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	State       model.BackendState
	Incarnation uint64
	Packet      netip.AddrPort
	Request     netip.AddrPort
	Stream      netip.AddrPort
	Slots       int
	Weight      int
	Load        float32
	LeaseMS     int64
	Silent      bool
}

func itemOf(b model.Backend, version uint64) member.Item {
	data, err := cbor.Marshal(body{
		Service: b.Service, State: b.State, Incarnation: b.Incarnation,
		Packet: b.Packet, Request: b.Request, Stream: b.Stream,
		Slots: b.Slots, Weight: b.Weight, Load: float32(b.Load), LeaseMS: b.Lease.Milliseconds(), Silent: b.Silent,
	})
	if err != nil {
		panic(err) // the types are fixed
	}
	return member.Item{Key: KeyPrefix + b.ID, Zone: b.Zone, Version: version, Gone: b.State == model.Gone, Body: data}
}

func backendOf(i member.Item) (model.Backend, error) {
	var d body
	id, ok := strings.CutPrefix(i.Key, KeyPrefix)
	err := cbor.Unmarshal(i.Body, &d)
	if !ok || err != nil || !d.State.Valid() || (d.State == model.Gone) != i.Gone {
		return model.Backend{}, fault.New(fault.Invalid, "check which host spreads it", "item %q holds no announcement", i.Key)
	}
	return model.Backend{
		ID: id, Service: d.Service, Zone: i.Zone, State: d.State, Incarnation: d.Incarnation,
		Packet: d.Packet, Request: d.Request, Stream: d.Stream,
		Slots: d.Slots, Weight: d.Weight, Load: float64(d.Load),
		Lease: grantedLease(time.Duration(d.LeaseMS) * time.Millisecond), Silent: d.Silent,
	}, nil
}

// EncodeRenewals returns the messages that carry the renewals.
func EncodeRenewals(list []Renewal) [][]byte {
	var messages [][]byte
	for len(list) > 0 {
		n := min(len(list), maxRenewals)
		data, err := cbor.Marshal(list[:n])
		if err != nil {
			panic(err) // the types are fixed
		}
		messages = append(messages, data)
		list = list[n:]
	}
	return messages
}

// DecodeRenewals parses a message of EncodeRenewals.
func DecodeRenewals(data []byte) ([]Renewal, error) {
	var list []Renewal
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, fault.New(fault.Invalid, "check which host sends it", "decode renewals: %w", err)
	}
	return list, nil
}
