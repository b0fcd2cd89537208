package daemon

import (
	"context"
	mathrand "math/rand/v2"
	"net/netip"

	"greengagequay/internal/control"
	"greengagequay/internal/gossip"
)

// openMembers sets up the registry, the health core and the gossip node without
// starting them.
func (d *Daemon) openMembers() error {
	d.openRegistry()
	d.openHealth()
	log := d.logs.Component("members")
	var key gossip.Key
	if d.Config.GossipKeyFile != "" {
		var err error
		if key, err = gossip.LoadKey(d.Config.GossipKeyFile); err != nil {
			return err
		}
	} else if addr, err := netip.ParseAddrPort(d.Config.Gossip); err == nil && !addr.Addr().IsLoopback() {
		log.Warnf("gossip at %s is not authenticated; set gossipKeyFile", addr)
	}
	d.Members = gossip.New(gossip.Options{
		Conn: d.bound.gossip, Key: key, Self: d.self(), Seeds: d.Config.Seeds,
		Clock: d.clock, Rand: mathrand.New(mathrand.NewPCG(control.RandomNumber(), control.RandomNumber())),
		Metrics: d.Metrics, Log: log, Bytes: &d.controlBytes,
		Revision: d.Replica.Revision, Leading: d.leading, Changed: d.handleGossipEvent,
	})
	return nil
}

func (d *Daemon) startMembers(ctx context.Context) {
	d.background.Go(d.Members.Receive)
	d.background.Go(func() { d.Members.Run(ctx) })
	d.background.Go(func() { d.runRegistry(ctx) })
	d.background.Go(func() { d.health.run(ctx) })
}

// leading reports whether this host leads the control hosts and had contact with
// a quorum of them within the election timeout.
func (d *Daemon) leading() bool {
	if d.controlHost == nil {
		return false
	}
	_, self := d.controlHost.Leader()
	return self && d.controlHost.Status().Current
}
