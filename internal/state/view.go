package state

import (
	"maps"

	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// IP protocol numbers.
const (
	protoTCP = 6
	protoUDP = 17
)

// view remembers what the last table was built from, so that the next one
// shares every part that has not changed.
type view struct {
	table     *table.Table
	settings  uint64 // settings revision
	names     []string
	addresses map[string][]table.Endpoint // by service
	placed    map[string]*table.Bucket    // first bucket in the placement, by service
}

// Table returns the data path's view of the state. The table is immutable and
// shares the parts that have not changed with the tables returned before.
func (s *State) Table() *table.Table {
	v := &s.view
	p := s.Placement.View()
	t := &table.Table{Revision: s.Revision, Seed: s.Seed, Backends: p.Backends, Hosts: p.Hosts}
	if v.table == nil || v.settings != s.SettingsRevision {
		s.readServices()
	}
	t.ByName, t.ByAddress = s.services(p)
	v.table = t
	return t
}

// readServices notes the services and addresses that the settings name.
func (s *State) readServices() {
	names := s.Tree.Services()
	s.view = view{
		settings:  s.SettingsRevision,
		names:     names,
		addresses: map[string][]table.Endpoint{},
		placed:    map[string]*table.Bucket{},
	}
	for _, name := range names {
		for _, text := range s.Tree.TextList(settings.Path(name), settings.ServiceAddresses) {
			addr, err := settings.ParseAddress(text)
			if err != nil {
				continue // refused when the change was checked
			}
			s.view.addresses[name] = append(s.view.addresses[name], endpoint(addr))
		}
	}
}

// services returns the maps of services, those of the last table if no bucket
// has changed since.
func (s *State) services(p *table.Placement) (map[string]*table.Service, map[table.Endpoint]*table.Service) {
	v := &s.view
	changed := v.changedServices(p)
	if v.table != nil && len(changed) == 0 {
		return v.table.ByName, v.table.ByAddress
	}
	byName := map[string]*table.Service{}
	byAddress := map[table.Endpoint]*table.Service{}
	if v.table != nil {
		byName = maps.Clone(v.table.ByName)
		byAddress = maps.Clone(v.table.ByAddress)
	}
	for _, name := range changed {
		buckets := p.Buckets[name]
		v.placed[name] = first(buckets)
		if len(buckets) == 0 {
			buckets = make([]table.Bucket, s.Tree.Int(settings.Path(name), settings.FlowBuckets))
		}
		svc := &table.Service{Name: name, Mask: uint64(len(buckets) - 1), Buckets: buckets}
		byName[name] = svc
		for _, e := range v.addresses[name] {
			byAddress[e] = svc
		}
	}
	return byName, byAddress
}

// changedServices returns the services whose buckets differ from those of the
// last table. Buckets that a view shares are copied before they change, so the
// address of the first one tells.
func (v *view) changedServices(p *table.Placement) []string {
	if v.table == nil {
		return v.names
	}
	var changed []string
	for _, name := range v.names {
		if first(p.Buckets[name]) != v.placed[name] {
			changed = append(changed, name)
		}
	}
	return changed
}

func first(buckets []table.Bucket) *table.Bucket {
	if len(buckets) == 0 {
		return nil
	}
	return &buckets[0]
}

func endpoint(a settings.Address) table.Endpoint {
	proto := uint8(protoTCP)
	if a.UDP {
		proto = protoUDP
	}
	return table.Endpoint{Addr: a.AddrPort.Addr().Unmap(), Port: a.AddrPort.Port(), Proto: proto}
}
