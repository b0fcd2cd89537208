package daemon

import (
	"context"
	mathrand "math/rand/v2"
	"net/netip"

	"greengagequay/internal/control"
	"greengagequay/internal/gossip"
)

// openMembers sets up this host as a member. It does not gossip yet.
func (d *Daemon) openMembers() error {
	d.openRegistry()
	d.openHealth()
	log := d.logs.Part("members")
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
		Revision: d.Replica.Revision, Leading: d.leading, Changed: d.gossiped,
	})
	return nil
}

func (d *Daemon) startMembers(ctx context.Context) {
	d.background.Go(d.Members.Receive)
	d.background.Go(func() { d.Members.Run(ctx) })
	d.background.Go(func() { d.keepRegistry(ctx) })
	d.background.Go(func() { d.health.run(ctx) })
}

// leading reports whether this host leads the control hosts and a quorum of
// them was in contact of late.
func (d *Daemon) leading() bool {
	if d.commits == nil {
		return false
	}
	_, self := d.commits.Leader()
	return self && d.commits.Status().Current
}
