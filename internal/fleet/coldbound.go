package fleet

import (
	"slices"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/warmup"
)

// coldBound returns the bound for cold backend servers, the zero value if the
// deployment's contracts or settings do not set one.
func coldBound(cfg Config, a Adapter) warmup.Bound {
	if !a.Features(cfg.Contracts).ColdBound {
		return warmup.Bound{}
	}
	return warmup.Bound{Overage: cfg.ColdOverage, Slack: cfg.ColdSlack}
}

// coldServices holds what a control host knows about cold backend servers of services.
type coldServices struct {
	bound    warmup.Bound
	document *document.Document // the one in force, or nil
	// hosts is as of the last tick: to list 1,400 hosts for each announcement takes too
	// long if thousands of backend servers are cold.
	hosts connectedHosts
}

// isBounded reports whether cold backend servers have a bound.
func (c *coldServices) isBounded() bool { return c.bound != warmup.Bound{} && c.document != nil }

// of returns the settings of a service.
func (c *coldServices) of(service string) catalog.ColdService {
	s := c.document.SettingsOf(service)
	return catalog.ColdService{
		PerSecond: c.bound.PerSecond(s.WarmupRate), Warmup: time.Duration(s.Warmup) * time.Millisecond,
	}
}

// admitCold names the entry hosts that may open flows to a backend server, if it is
// cold and owned by this host. It reports whether followers must be told. The caller
// holds mu.
func (h *ControlHost) admitCold(id string) bool { return h.admit([]string{id}) }

// admitOwned does the same for all backend servers that this host owns: entry hosts
// may have connected or been lost since. The caller holds mu.
func (h *ControlHost) admitOwned() bool {
	if !h.cold.isBounded() {
		return false
	}
	h.cold.hosts = newConnectedHosts(h.entryHosts.all())
	return h.admit(h.catalog.ColdOwned(h.now()))
}

// admitZone handles the end of a zone's evacuation: its backend servers are cold from
// now on, and those that this host owns get their entry hosts. It reports whether
// followers must be told. The caller holds mu.
func (h *ControlHost) admitZone(zone string) bool {
	if !h.cold.isBounded() {
		return false
	}
	h.catalog.StartZoneWarmup(h.now(), zone, func(service string) time.Duration { return h.cold.of(service).Warmup })
	return h.admitOwned()
}

func (h *ControlHost) admit(ids []string) bool {
	if !h.cold.isBounded() {
		return false
	}
	changed := false
	for _, id := range ids {
		service, _ := h.catalog.Service(id)
		a := h.catalog.Admit(h.now(), id, h.cold.of(service), h.cold.hosts)
		if a == nil {
			continue
		}
		changed = true
		h.metrics.Counter("control.cold_admissions").Inc(1)
		h.log.Event("admission", "named the entry hosts that may use a cold backend server", eventlog.Fields{
			"backend": id, "service": service, "hosts": a.Hosts, "each": a.Each, "generation": a.Generation, "final": a.Final,
		})
	}
	return changed
}

// connectedHosts holds the entry hosts that are connected to any control host.
type connectedHosts struct {
	all   []warmup.Host
	addrs map[string]bool
}

func newConnectedHosts(list []feed.HostInfo) connectedHosts {
	c := connectedHosts{addrs: make(map[string]bool, len(list))}
	for _, host := range list {
		c.all = append(c.all, warmup.Host{Addr: host.Addr, Zone: host.Zone})
		c.addrs[host.Addr] = true
	}
	return c
}

// All returns the connected entry hosts.
func (c connectedHosts) All() []warmup.Host { return c.all }

// AnyConnected reports whether any of the entry hosts is connected.
func (c connectedHosts) AnyConnected(addrs []string) bool {
	return slices.ContainsFunc(addrs, func(addr string) bool { return c.addrs[addr] })
}
