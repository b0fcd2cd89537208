// Package demo runs a small system in one process on loopback, drives flows
// and requests through it, disturbs it, and reports what the callers saw.
package demo

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/daemon"
	"greengagequay/internal/logs"
	"greengagequay/internal/standin"
)

const loopback = "127.0.0.1:0"

// hostSpec describes one host of the demonstration.
type hostSpec struct {
	name, zone string
	control    bool
}

var hostSpecs = []hostSpec{
	{"rvk-a-1", "rvk-a", true},
	{"rvk-a-2", "rvk-a", false},
	{"rvk-b-1", "rvk-b", true},
	{"rvk-b-2", "rvk-b", true},
}

// serviceSpec describes one service of the demonstration.
type serviceSpec struct {
	name     string
	address  netip.AddrPort
	backends int
	slots    int
}

var serviceSpecs = []serviceSpec{
	{"pantanir", netip.MustParseAddrPort("203.0.113.10:443"), 4, 3},
	{"myndir", netip.MustParseAddrPort("203.0.113.20:443"), 2, 3},
}

// fleet is the running system.
type fleet struct {
	dir      string
	mu       sync.Mutex
	hosts    []*daemon.Daemon
	backends []*standin.Server
}

func startFleet(ctx context.Context, back netip.AddrPort) (*fleet, error) {
	dir, err := os.MkdirTemp("", "quay-demo-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &fleet{dir: dir}
	if err := f.startHosts(); err != nil {
		f.close(ctx)
		return nil, err
	}
	if err := f.startBackends(back); err != nil {
		f.close(ctx)
		return nil, err
	}
	return f, nil
}

func (f *fleet) startHosts() error {
	bounds := make([]*daemon.Bound, len(hostSpecs))
	var peers []config.Peer
	var seeds []string
	for i, spec := range hostSpecs {
		b, err := daemon.Bind(f.configOf(spec))
		if err != nil {
			return err
		}
		bounds[i] = b
		seeds = append(seeds, b.Config.Gossip)
		if spec.control {
			peers = append(peers, config.Peer{Name: spec.name, RPC: b.Config.RPC})
		}
	}
	for _, b := range bounds {
		b.Config.Control = peers
		b.Config.Seeds = seeds
		d, err := daemon.Start(b, logs.Discard(), clock.Real{})
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, d)
	}
	return nil
}

func (f *fleet) configOf(spec hostSpec) config.Config {
	c := config.Config{
		Name: spec.name, Zone: spec.zone, Roles: []config.Role{config.Entry},
		RPC: loopback, API: loopback, Gossip: loopback,
		Packets: loopback, Relay: loopback, Requests: loopback,
		Listeners: map[string]string{serviceSpecs[0].name: loopback},
		Log:       config.Log{Level: "warn", Format: "text"},
	}
	if spec.control {
		c.Roles = append(c.Roles, config.Control)
		c.Data = filepath.Join(f.dir, spec.name)
		c.Bootstrap = true
	}
	return c
}

func (f *fleet) startBackends(back netip.AddrPort) error {
	for _, svc := range serviceSpecs {
		for i := range svc.backends {
			zone := hostSpecs[2*(i%2)].zone
			s, err := standin.Start(standin.Config{
				ID: fmt.Sprintf("%s-%d", svc.name, i+1), Service: svc.name, Zone: zone,
				Slots: svc.slots, Address: svc.address, Return: back,
				API: f.apiOf(zone), ListenIP: "127.0.0.1",
			})
			if err != nil {
				return err
			}
			f.backends = append(f.backends, s)
		}
	}
	return nil
}

// apiOf returns a function that names the API of some host of the zone.
func (f *fleet) apiOf(zone string) func() string {
	return func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, h := range f.hosts {
			if h.Config.Zone == zone {
				return h.Config.API
			}
		}
		return ""
	}
}

// restart stops the host gracefully and starts it again on the same addresses.
func (f *fleet) restart(ctx context.Context, i int) error {
	old := f.host(i)
	if err := old.Stop(ctx); err != nil {
		return fmt.Errorf("stop host %s: %w", old.Config.Name, err)
	}
	b, err := daemon.Bind(old.Config)
	if err != nil {
		return err
	}
	d, err := daemon.Start(b, logs.Discard(), clock.Real{})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.hosts[i] = d
	f.mu.Unlock()
	return f.waitRevision(ctx, f.host(0).Replica.Revision(), i)
}

func (f *fleet) host(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i]
}

// waitRevision waits until the revision is in force on the given hosts.
func (f *fleet) waitRevision(ctx context.Context, revision uint64, hosts ...int) error {
	for _, i := range hosts {
		h := f.host(i)
		for {
			changed := h.Replica.Changed()
			if h.Replica.Revision() >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return fmt.Errorf("revision %d is not in force on host %s: %w", revision, h.Config.Name, ctx.Err())
			}
		}
	}
	return nil
}

func (f *fleet) allHosts() []int {
	all := make([]int, len(hostSpecs))
	for i := range all {
		all[i] = i
	}
	return all
}

func (f *fleet) controlBytes() (total int64) {
	for i := range hostSpecs {
		total += f.host(i).ControlBytes()
	}
	return total
}

func (f *fleet) close(ctx context.Context) {
	for _, b := range f.backends {
		b.Close()
	}
	for i := len(f.hosts) - 1; i >= 0; i-- {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		_ = f.hosts[i].Stop(ctx)
		cancel()
	}
	_ = os.RemoveAll(f.dir)
}
