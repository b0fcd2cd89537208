package registry

import (
	"net/netip"
	"strings"
	"time"

	"greengagequay/internal/codec"
	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// KeyPrefix is the prefix of the keys of items that contain announcements.
const KeyPrefix = "b/"

// maxRenewals is the number of renewals that fit into one message.
const maxRenewals = 12

// itemBody is the body of an item: an announcement in CBOR. The ID and the zone
// are in the item.
type itemBody struct {
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

func encodeItem(b model.Backend, version uint64) member.Item {
	data, err := codec.Marshal(itemBody{
		Service: b.Service, State: b.State, Incarnation: b.Incarnation,
		Packet: b.Packet, Request: b.Request, Stream: b.Stream,
		Slots: b.Slots, Weight: b.Weight, Load: float32(b.Load), LeaseMS: b.Lease.Milliseconds(), Silent: b.Silent,
	})
	if err != nil {
		panic(err) // cannot fail for this type
	}
	return member.Item{Key: KeyPrefix + b.ID, Zone: b.Zone, Version: version, Gone: b.State == model.Gone, Body: data}
}

func decodeItem(i member.Item) (model.Backend, error) {
	var d itemBody
	id, ok := strings.CutPrefix(i.Key, KeyPrefix)
	err := codec.Unmarshal(i.Body, &d)
	if !ok || err != nil || !d.State.Valid() || (d.State == model.Gone) != i.Gone {
		return model.Backend{}, fault.New(fault.Invalid, "check which host published the item", "item %q contains no valid announcement", i.Key)
	}
	return model.Backend{
		ID: id, Service: d.Service, Zone: i.Zone, State: d.State, Incarnation: d.Incarnation,
		Packet: d.Packet, Request: d.Request, Stream: d.Stream,
		Slots: d.Slots, Weight: d.Weight, Load: float64(d.Load),
		Lease: grantedLease(time.Duration(d.LeaseMS) * time.Millisecond), Silent: d.Silent,
	}, nil
}

// EncodeRenewals encodes the renewals as messages of limited size.
func EncodeRenewals(list []Renewal) [][]byte {
	var messages [][]byte
	for len(list) > 0 {
		n := min(len(list), maxRenewals)
		data, err := codec.Marshal(list[:n])
		if err != nil {
			panic(err) // cannot fail for this type
		}
		messages = append(messages, data)
		list = list[n:]
	}
	return messages
}

// DecodeRenewals parses one message from EncodeRenewals.
func DecodeRenewals(data []byte) ([]Renewal, error) {
	var list []Renewal
	if err := codec.Unmarshal(data, &list); err != nil {
		return nil, fault.New(fault.Invalid, "check which host sent the renewals", "decode renewals: %w", err)
	}
	return list, nil
}
