package apiserver

import (
	"cmp"
	"context"
	"slices"

	"greengagequay/internal/api"
	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// GetStatus returns this host's revision, the leader, and the live hosts that do
// not have the latest settings in force.
func (s *Server) GetStatus(context.Context) (*api.Status, error) {
	out := &api.Status{Host: s.Name, Zone: s.Zone, Leader: s.Submit.Leader(), Lagging: []api.HostLag{}}
	s.Replica.Read(func(st *state.State) {
		out.Revision, out.SettingsRevision = int64(st.Revision), int64(st.SettingsRevision)
	})
	current, age, known := s.Control.Freshness()
	out.Current = current
	if known {
		out.AgeSeconds.SetTo(age.Seconds())
	}
	for _, h := range s.Members.Hosts() {
		if h.State == model.Alive && int64(h.Revision) < out.SettingsRevision {
			out.Lagging = append(out.Lagging, api.HostLag{Name: h.Name, Revision: int64(h.Revision)})
		}
	}
	return out, nil
}

func (s *Server) ListServices(context.Context) ([]api.Service, error) {
	if err := s.requireState(); err != nil {
		return nil, err
	}
	list := []api.Service{}
	s.Replica.Read(func(st *state.State) {
		for _, name := range st.Tree.Services() {
			list = append(list, serviceOf(st, name))
		}
	})
	return list, nil
}

func serviceOf(st *state.State, name string) api.Service {
	path := settings.Path(name)
	out := api.Service{
		Name:      name,
		Addresses: st.Tree.TextList(path, settings.ServiceAddresses),
		Zones:     st.Tree.TextList(path, settings.ServiceZones),
		Buckets:   st.Tree.Int(path, settings.FlowBuckets),
	}
	for _, b := range st.Placement.Backends {
		if b.Service == name && b.State != model.Gone {
			out.Backends++
		}
	}
	for _, b := range st.Placement.Buckets[name] {
		if b.Phase != table.Stable {
			out.Moving++
		}
	}
	return out
}

// ListZones returns all availability zones that have hosts or backend servers.
func (s *Server) ListZones(context.Context) ([]api.Zone, error) {
	zones := map[string]*api.Zone{}
	zone := func(name string) *api.Zone {
		if zones[name] == nil {
			zones[name] = &api.Zone{Name: name}
		}
		return zones[name]
	}
	for _, h := range s.Members.Hosts() {
		if h.State == model.Alive {
			zone(h.Zone).Hosts++
		}
	}
	for _, b := range s.Replica.Table().Backends {
		if b.State != model.Gone {
			zone(b.Zone).Backends++
		}
	}
	list := []api.Zone{}
	for _, z := range zones {
		list = append(list, *z)
	}
	slices.SortFunc(list, func(a, b api.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

// ListBackends returns all backend servers of the placement.
func (s *Server) ListBackends(context.Context) ([]api.Backend, error) {
	if err := s.requireState(); err != nil {
		return nil, err
	}
	list := []api.Backend{}
	for _, b := range s.Replica.Table().Backends {
		item := api.Backend{ID: b.ID, Service: b.Service, Zone: b.Zone, Address: b.Packet.String(), State: string(b.State), Slots: b.Slots, Weight: b.Weight}
		item.RequestAddress.SetTo(b.Request.String())
		item.Incarnation.SetTo(int64(b.Incarnation))
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b api.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// ListHosts returns all known hosts.
func (s *Server) ListHosts(context.Context) ([]api.Host, error) {
	list := []api.Host{}
	for _, h := range s.Members.Hosts() {
		item := api.Host{Name: h.Name, Zone: h.Zone, State: string(h.State), Revision: int64(h.Revision), Roles: rolesOf(h)}
		item.Incarnation.SetTo(int64(h.Incarnation))
		item.RPC.SetTo(h.RPC)
		list = append(list, item)
	}
	return list, nil
}

func rolesOf(h model.Host) []string {
	roles := []string{}
	if h.Entry {
		roles = append(roles, "entry")
	}
	if h.Control {
		roles = append(roles, "control")
	}
	return roles
}
