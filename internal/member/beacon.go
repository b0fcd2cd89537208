package member

import "cmp"

// Beacon is a sign of life of the control quorum. It returns to each zone what
// the quorum heard from it: a host's lease runs from the time at which it saw
// the beacon that the quorum knows it has seen. The quorum's own count starts
// later, when it learns so, and thus ends after the host's.
type Beacon struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64   // of the leading control host
	Seq      uint64
	Leader   string // gossip address
	LeaseMS  uint32 // length of leases, in milliseconds
	List     uint32 // hosts of the zone that the rest refers to
	Ack      uint64 // beacon that the quorum knows all of them to have seen
	Late     []Late
	Revision uint64 // in force on every host of the fleet but those behind
	Behind   []Behind
}

// Behind is a host on which a revision is not yet in force.
type Behind struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

func (b *Beacon) newer(o *Beacon) bool {
	return o == nil || cmp.Or(cmp.Compare(b.Epoch, o.Epoch), cmp.Compare(b.Seq, o.Seq), cmp.Compare(b.Ack, o.Ack)) > 0
}
