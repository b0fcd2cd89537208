package daemon

import (
	"context"

	"greengagequay/internal/entry"
)

func (d *Daemon) startStreams() {
	for service, l := range d.bound.streams {
		s := entry.NewStream(l, service, d.Replica, d.Metrics, d.logs.Component("stream"))
		s.Health = d.health
		d.streams = append(d.streams, s)
		d.background.Go(s.Serve)
	}
}

// waitStreams waits until all plain TCP connections have ended or ctx ends.
func (d *Daemon) waitStreams(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		for _, s := range d.streams {
			s.Wait()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
