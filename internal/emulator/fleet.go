// Package emulator runs a small system in one process on loopback: hosts,
// stand-in backend servers, and callers that drive flows on real sockets.
package emulator

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/daemon"
	"greengagequay/internal/logs"
	"greengagequay/internal/loopback"
	"greengagequay/internal/standin"
)

// HostSpec describes one host.
type HostSpec struct {
	Name, Zone string
	Control    bool // the host is also a control host
}

// ServiceSpec describes one service and its backend servers, which are spread
// over the zones of the hosts.
type ServiceSpec struct {
	Name     string
	Address  netip.AddrPort
	Backends int
	Slots    int
}

// Fleet is a running system. Its hosts start in the order of Hosts.
type Fleet struct {
	Hosts    []HostSpec
	Services []ServiceSpec
	Backends []*standin.Server

	dir     string
	anyPort string // listen address of every port; the fleet has an IP address of its own
	mu      sync.Mutex
	daemons []*daemon.Daemon // by index of the host
	down    []bool           // by index of the host; true from before it ends until it has started again
}

// Start starts hosts and backend servers. The backend servers send their answers
// for callers to the UDP address returnAddr.
func Start(hosts []HostSpec, services []ServiceSpec, returnAddr netip.AddrPort) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "quay-emulator-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Fleet{Hosts: hosts, Services: services, dir: dir, anyPort: loopback.AnyPort()}
	if err := f.startHosts(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startBackends(returnAddr); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startHosts() error {
	bounds := make([]*daemon.Bound, len(f.Hosts))
	var peers []config.Peer
	var seeds []string
	for i, spec := range f.Hosts {
		b, err := daemon.Bind(f.configOf(spec))
		if err != nil {
			return err
		}
		bounds[i] = b
		seeds = append(seeds, b.Config.Gossip)
		if spec.Control {
			peers = append(peers, config.Peer{Name: spec.Name, RPC: b.Config.RPC})
		}
	}
	for _, b := range bounds {
		b.Config.Control, b.Config.Seeds = peers, seeds
		d, err := daemon.Start(b, logs.Discard(), clock.Real{})
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.down = append(f.down, false)
	}
	return nil
}

func (f *Fleet) configOf(spec HostSpec) config.Config {
	c := config.Config{
		Name: spec.Name, Zone: spec.Zone, Roles: []config.Role{config.Entry},
		RPC: f.anyPort, API: f.anyPort, Gossip: f.anyPort,
		Packets: f.anyPort, Relay: f.anyPort, Requests: f.anyPort,
		Listeners: map[string]string{f.Services[0].Name: f.anyPort},
		Log:       config.Log{Level: "warn", Format: "text"},
	}
	if spec.Control {
		c.Roles = append(c.Roles, config.Control)
		c.Data = filepath.Join(f.dir, spec.Name)
		c.Bootstrap = true
	}
	return c
}

func (f *Fleet) startBackends(returnAddr netip.AddrPort) error {
	zones := f.zones()
	for _, svc := range f.Services {
		for i := range svc.Backends {
			zone := zones[i%len(zones)]
			s, err := standin.Start(standin.Config{
				ID: fmt.Sprintf("%s-%d", svc.Name, i+1), Service: svc.Name, Zone: zone,
				Slots: svc.Slots, Address: svc.Address, Return: returnAddr,
				API: f.apiOf(zone), ListenIP: "127.0.0.1",
			})
			if err != nil {
				return err
			}
			f.Backends = append(f.Backends, s)
		}
	}
	return nil
}

// zones returns the zones of the hosts, each once.
func (f *Fleet) zones() []string {
	var zones []string
	for _, h := range f.Hosts {
		if !slices.Contains(zones, h.Zone) {
			zones = append(zones, h.Zone)
		}
	}
	return zones
}

// apiOf returns a function that returns the API address of a running host of the
// zone, or "" if none runs.
func (f *Fleet) apiOf(zone string) func() string {
	return func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, h := range f.daemons {
			if h.Config.Zone == zone && !f.down[i] {
				return h.Config.API
			}
		}
		return ""
	}
}

// Restart stops the host gracefully, starts it again on the same addresses,
// and waits until it has caught up with the others.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	f.setDown(i, true)
	if err := f.Host(i).Stop(ctx); err != nil {
		return fmt.Errorf("stop host %s: %w", f.Hosts[i].Name, err)
	}
	return f.StartAgain(ctx, i)
}

// Kill ends the host at once, like a crash.
func (f *Fleet) Kill(i int) {
	f.setDown(i, true)
	f.Host(i).Kill()
}

// StartAgain starts a host that has ended on the same addresses, and waits until
// it has caught up with the others.
func (f *Fleet) StartAgain(ctx context.Context, i int) error {
	b, err := f.bindAgain(ctx, f.Host(i).Config)
	if err != nil {
		return err
	}
	d, err := daemon.Start(b, logs.Discard(), clock.Real{})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.daemons[i] = d
	f.mu.Unlock()
	f.setDown(i, false)
	return f.WaitRevision(ctx, f.newestRevision(), i)
}

// bindAgain binds the addresses of a host that has ended. It retries until ctx
// ends, because a connection of another process may use one of the ports for a
// while.
func (f *Fleet) bindAgain(ctx context.Context, c config.Config) (b *daemon.Bound, err error) {
	waitErr := f.WaitFor(ctx, func() bool {
		b, err = daemon.Bind(c)
		return err == nil
	})
	if waitErr != nil {
		return nil, err
	}
	return b, nil
}

func (f *Fleet) setDown(i int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[i] = down
}

// newestRevision returns the largest revision in force on a running host.
func (f *Fleet) newestRevision() (revision uint64) {
	for _, i := range f.Running() {
		revision = max(revision, f.Host(i).Replica.Revision())
	}
	return revision
}

// Host returns the daemon of a host, which may have ended.
func (f *Fleet) Host(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// Running returns the indexes of the hosts that run.
func (f *Fleet) Running() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []int
	for i := range f.daemons {
		if !f.down[i] {
			list = append(list, i)
		}
	}
	return list
}

// Entries returns the packet addresses of all hosts, including those that do not
// run: the network that spreads packets over the hosts does not know which run.
func (f *Fleet) Entries() []netip.AddrPort {
	list := make([]netip.AddrPort, len(f.Hosts))
	for i := range f.Hosts {
		list[i], _ = netip.ParseAddrPort(f.Host(i).Config.Packets)
	}
	return list
}

// ControlBytes returns the sum of the bytes of control traffic that the hosts have
// sent and received.
func (f *Fleet) ControlBytes() (total int64) {
	for i := range f.Hosts {
		total += f.Host(i).ControlBytes()
	}
	return total
}

// Close stops the backend servers and the hosts, and removes the data folders.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.Close()
	}
	for _, i := range f.Running() {
		f.Host(i).Kill()
	}
	_ = os.RemoveAll(f.dir)
}
