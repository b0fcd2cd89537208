package route

import (
	"greengagequay/internal/flow"
	"greengagequay/internal/table"
)

// Hop is the decision of one host on the way of a packet.
type Hop struct {
	Host    table.HostNum // 0 if the first host is not in the table
	Verdict Verdict
}

const (
	walkRecords = 1024 // records of each host in a walk, which makes one
	maxWalkHops = maxHops + table.MaxBackups + 1
)

// Walk returns the decisions about the opening packet of a flow that no host has a record
// of, from the host called name to the backend server. It assumes that all hosts have the
// table and that none is cut off. The code of Route and Relayed decides, with records that
// only Walk uses, so it changes and sends nothing.
func Walk(t *table.Table, name string, p *flow.Packet) []Hop {
	var h Header
	router := NewRouter(walkRecords)
	v := NewView(t, name, router)
	hops := []Hop{{Host: v.self, Verdict: router.Route(0, v, p, &h)}}
	for len(hops) <= maxWalkHops {
		last := hops[len(hops)-1].Verdict
		if last.Action != Relay {
			break
		}
		router = NewRouter(walkRecords)
		v = NewView(t, t.Hosts[last.To].Name, router)
		hops = append(hops, Hop{Host: last.To, Verdict: router.Relayed(0, v, p, &h)})
	}
	return hops
}

// BucketOf returns the service and the index of the bucket of a packet's flow. It reports
// false if no service has the destination.
func BucketOf(t *table.Table, p *flow.Packet) (*table.Service, int, bool) {
	svc := t.ByAddress[p.Endpoint()]
	if svc == nil {
		return nil, 0, false
	}
	return svc, int(p.Hash(t.Seed) & svc.Mask), true
}

var actionNames = [...]string{"drop", "forward", "relay", "reset"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }
