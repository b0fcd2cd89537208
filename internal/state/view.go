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

// tableCache holds the last table and what it was built from, so that the next
// table shares every part that has not changed. A change of settings resets it.
type tableCache struct {
	table        *table.Table
	settings     uint64 // settings revision that names and addresses were read at
	names        []string
	addresses    map[string][]table.Endpoint // by service
	firstBuckets map[string]*table.Bucket    // pointer to the first bucket in the placement, by service
}

// Table returns the view of the state for the data path. The table is immutable.
// Unless the settings have changed, it shares unchanged services with the table
// returned before.
func (s *State) Table() *table.Table {
	c := &s.tableCache
	p := s.Placement.View()
	t := &table.Table{Revision: s.Revision, Seed: s.Seed, Backends: p.Backends, Hosts: p.Hosts}
	if c.table == nil || c.settings != s.SettingsRevision {
		s.readServices()
	}
	t.ByName, t.ByAddress = s.services(p)
	c.table = t
	return t
}

// readServices resets the cache and reads the services and their addresses from
// the settings.
func (s *State) readServices() {
	names := s.Tree.Services()
	s.tableCache = tableCache{
		settings:     s.SettingsRevision,
		names:        names,
		addresses:    map[string][]table.Endpoint{},
		firstBuckets: map[string]*table.Bucket{},
	}
	for _, name := range names {
		for _, text := range s.Tree.TextList(settings.Path(name), settings.ServiceAddresses) {
			addr, err := settings.ParseAddress(text)
			if err != nil {
				continue // malformed addresses are refused when a change is checked
			}
			s.tableCache.addresses[name] = append(s.tableCache.addresses[name], endpoint(addr))
		}
	}
}

// services returns the services by name and by address. These are the maps of
// the last table if no bucket has changed since.
func (s *State) services(p *table.Placement) (map[string]*table.Service, map[table.Endpoint]*table.Service) {
	c := &s.tableCache
	changed := c.changedServices(p)
	if c.table != nil && len(changed) == 0 {
		return c.table.ByName, c.table.ByAddress
	}
	byName := map[string]*table.Service{}
	byAddress := map[table.Endpoint]*table.Service{}
	if c.table != nil {
		byName = maps.Clone(c.table.ByName)
		byAddress = maps.Clone(c.table.ByAddress)
	}
	for _, name := range changed {
		buckets := p.Buckets[name]
		c.firstBuckets[name] = firstBucket(buckets)
		if len(buckets) == 0 {
			buckets = make([]table.Bucket, s.Tree.Int(settings.Path(name), settings.FlowBuckets))
		}
		svc := &table.Service{Name: name, Mask: uint64(len(buckets) - 1), Buckets: buckets}
		byName[name] = svc
		for _, e := range c.addresses[name] {
			byAddress[e] = svc
		}
	}
	return byName, byAddress
}

// changedServices returns the services whose buckets differ from those of the
// last table. The placement copies shared buckets before it changes them, so a
// service is unchanged if the pointer to its first bucket is the same.
func (c *tableCache) changedServices(p *table.Placement) []string {
	if c.table == nil {
		return c.names
	}
	var changed []string
	for _, name := range c.names {
		if firstBucket(p.Buckets[name]) != c.firstBuckets[name] {
			changed = append(changed, name)
		}
	}
	return changed
}

// firstBucket returns a pointer to the first bucket, or nil if there is none.
func firstBucket(buckets []table.Bucket) *table.Bucket {
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
