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
	"greengagequay/internal/standin"
)

const loopback = "127.0.0.1:0"

// HostSpec describes one host.
type HostSpec struct {
	Name, Zone string
	Control    bool // the host is a control host besides
}

// ServiceSpec describes one service and its backend servers, which are spread
// over the zones of the hosts.
type ServiceSpec struct {
	Name     string
	Address  netip.AddrPort
	Backends int
	Slots    int
}

// Fleet is the running system. Its hosts are started in order.
type Fleet struct {
	Hosts    []HostSpec
	Services []ServiceSpec
	Backends []*standin.Server

	dir     string
	mu      sync.Mutex
	running []*daemon.Daemon
	down    []bool // by index of a host
}

// Start starts hosts and backend servers. Answers to callers go to back.
func Start(hosts []HostSpec, services []ServiceSpec, back netip.AddrPort) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "quay-emulator-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Fleet{Hosts: hosts, Services: services, dir: dir}
	if err := f.startHosts(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startBackends(back); err != nil {
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
		f.running = append(f.running, d)
		f.down = append(f.down, false)
	}
	return nil
}

func (f *Fleet) configOf(spec HostSpec) config.Config {
	c := config.Config{
		Name: spec.Name, Zone: spec.Zone, Roles: []config.Role{config.Entry},
		RPC: loopback, API: loopback, Gossip: loopback,
		Packets: loopback, Relay: loopback, Requests: loopback,
		Listeners: map[string]string{f.Services[0].Name: loopback},
		Log:       config.Log{Level: "warn", Format: "text"},
	}
	if spec.Control {
		c.Roles = append(c.Roles, config.Control)
		c.Data = filepath.Join(f.dir, spec.Name)
		c.Bootstrap = true
	}
	return c
}

func (f *Fleet) startBackends(back netip.AddrPort) error {
	zones := f.zones()
	for _, svc := range f.Services {
		for i := range svc.Backends {
			zone := zones[i%len(zones)]
			s, err := standin.Start(standin.Config{
				ID: fmt.Sprintf("%s-%d", svc.Name, i+1), Service: svc.Name, Zone: zone,
				Slots: svc.Slots, Address: svc.Address, Return: back,
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

// apiOf returns a function that names the API of some running host of the zone.
func (f *Fleet) apiOf(zone string) func() string {
	return func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, h := range f.running {
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
	return f.Revive(ctx, i)
}

// Kill ends the host at once, as a crash would.
func (f *Fleet) Kill(i int) {
	f.setDown(i, true)
	f.Host(i).Kill()
}

// Revive starts a host that has ended on the same addresses, and waits until
// it has caught up with the others.
func (f *Fleet) Revive(ctx context.Context, i int) error {
	b, err := f.bindAgain(ctx, f.Host(i).Config)
	if err != nil {
		return err
	}
	d, err := daemon.Start(b, logs.Discard(), clock.Real{})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.running[i] = d
	f.mu.Unlock()
	f.setDown(i, false)
	return f.WaitRevision(ctx, f.newest(), i)
}

// bindAgain binds the addresses of a host that has ended. A connection of
// another process may have been given one of its ports meanwhile; that passes.
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

// newest returns the largest revision in force on a running host.
func (f *Fleet) newest() (revision uint64) {
	for _, i := range f.Running() {
		revision = max(revision, f.Host(i).Replica.Revision())
	}
	return revision
}

// Host returns the process of a host, which may have ended.
func (f *Fleet) Host(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[i]
}

// Running returns the indexes of the hosts that run.
func (f *Fleet) Running() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []int
	for i := range f.running {
		if !f.down[i] {
			list = append(list, i)
		}
	}
	return list
}

// Entries returns the packet addresses of all hosts, as the fabric knows them.
func (f *Fleet) Entries() []netip.AddrPort {
	list := make([]netip.AddrPort, len(f.Hosts))
	for i := range f.Hosts {
		list[i], _ = netip.ParseAddrPort(f.Host(i).Config.Packets)
	}
	return list
}

// ControlBytes returns the bytes of control traffic of all hosts.
func (f *Fleet) ControlBytes() (total int64) {
	for i := range f.Hosts {
		total += f.Host(i).ControlBytes()
	}
	return total
}

// Close ends everything and removes the data folders.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.Close()
	}
	for _, i := range f.Running() {
		f.Host(i).Kill()
	}
	_ = os.RemoveAll(f.dir)
}
