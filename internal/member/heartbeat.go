package member

import "cmp"

// Heartbeat is a heartbeat of the control quorum, issued by the leading control
// host. The copy for each zone acknowledges the heartbeats that the zone has
// reported as received. A host's lease starts when the host received the
// heartbeat that is acknowledged for it. The leader counts the same lease from
// the later time at which the report arrived, so the lease expires on the host
// first.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64   // epoch of the leading control host
	Seq      uint64
	Leader   string // gossip address of the leading control host
	LeaseMS  uint32 // length of leases, in milliseconds
	List     uint32 // hash of the zone's live hosts, to which Ack and Late refer
	Ack      uint64 // heartbeat received by all of the zone's live hosts but the ones in Late
	Late     []HostProgress
	Revision uint64 // revision in force on all live hosts of reachable zones but the ones in Behind
	Behind   []HostRevision
}

// HostRevision is the revision in force on a host.
type HostRevision struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

func (b *Heartbeat) newer(o *Heartbeat) bool {
	return o == nil || cmp.Or(cmp.Compare(b.Epoch, o.Epoch), cmp.Compare(b.Seq, o.Seq), cmp.Compare(b.Ack, o.Ack)) > 0
}
