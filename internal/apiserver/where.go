package apiserver

import (
	"context"
	"net/netip"
	"slices"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
	"greengagequay/internal/flow"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// IP protocol numbers.
const (
	protoTCP = 6
	protoUDP = 17
)

var phases = [...]api.WherePhase{
	table.Stable: api.WherePhaseStable, table.Prepare: api.WherePhasePrepare, table.Move: api.WherePhaseMove, table.Settle: api.WherePhaseSettle,
}

// Where returns where the opening packet of a flow without a record goes by the table of
// this host.
func (s *Server) Where(_ context.Context, p api.WhereParams) (*api.Where, error) {
	if err := s.requireState(); err != nil {
		return nil, err
	}
	packet, err := openingPacket(p)
	if err != nil {
		return nil, err
	}
	t := s.Replica.Table()
	svc, index, ok := route.BucketOf(t, packet)
	if !ok {
		return nil, fault.New(fault.NotFound, "list the addresses of services with 'quayctl services'; with --protocol udp, that of UDP",
			"no service has the address %s %s", p.Protocol.Or(api.WhereProtocolTCP), p.Route)
	}
	b := &svc.Buckets[index]
	out := &api.Where{
		Host: s.Name, Zone: s.Zone, Revision: int64(t.Revision), Service: svc.Name, Bucket: index, Buckets: len(svc.Buckets),
		Phase: phases[b.Phase], Candidates: []api.WhereCandidate{}, Hops: []api.WhereHop{},
	}
	if b.Home != 0 {
		out.Home.SetTo(t.Hosts[b.Home].Name)
	}
	for _, n := range slices.Backward(b.All()) {
		backend := t.Backends[n]
		out.Candidates = append(out.Candidates, api.WhereCandidate{ID: backend.ID, Zone: backend.Zone, State: string(backend.State), Reason: roleOf(b, n)})
	}
	hops := route.Walk(t, s.Name, packet)
	for i, h := range hops {
		item := api.WhereHop{Host: t.Hosts[h.Host].Name, Action: h.Verdict.Action.String()}
		if i == 0 {
			item.Host = s.Name
		}
		if h.Verdict.Action == route.Relay {
			item.To.SetTo(t.Hosts[h.Verdict.To].Name)
		}
		out.Hops = append(out.Hops, item)
	}
	last := hops[len(hops)-1].Verdict
	out.Verdict, out.Reason = last.Action.String(), last.Reason.String()
	if last.Action == route.Forward {
		out.Backend.SetTo(t.Backends[last.Backend].ID)
	}
	return out, nil
}

// roleOf returns which flows of a bucket a candidate has.
func roleOf(b *table.Bucket, n table.BackendNum) string {
	switch {
	case !b.Moving():
		return "has all flows"
	case n == b.Opening() && n == b.Unknown():
		return "gets new flows, and has those without a record"
	case n == b.Opening():
		return "gets new flows"
	case n == b.Unknown():
		return "has the flows without a record"
	}
	return "keeps the flows that are recorded for it"
}

func openingPacket(p api.WhereParams) (*flow.Packet, error) {
	caller, err := endpointOf("caller", p.Caller)
	if err != nil {
		return nil, err
	}
	to, err := endpointOf("route", p.Route)
	if err != nil {
		return nil, err
	}
	packet := &flow.Packet{Src: caller.Addr(), SrcPort: caller.Port(), Dst: to.Addr(), DstPort: to.Port(), Proto: protoTCP, SYN: true}
	if p.Protocol.Or(api.WhereProtocolTCP) == api.WhereProtocolUDP {
		packet.Proto, packet.SYN = protoUDP, false
	}
	return packet, nil
}

func endpointOf(name, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fault.New(fault.Invalid, "give IP:PORT, such as 100.64.0.1:40000", "%s %q is not an address and port", name, text)
	}
	return addr, nil
}
