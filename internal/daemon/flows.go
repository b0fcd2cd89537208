package daemon

import (
	"context"

	"greengagequay/internal/entry"
)

// forwarders is the number of goroutines that route packets of one socket.
const forwarders = 2

func (d *Daemon) startFlows(context.Context) {
	f := entry.NewForwarder(entry.NewUDPFabric(d.bound.packets), d.Replica, d.Metrics)
	for range forwarders {
		d.run(f.Serve)
	}
}
