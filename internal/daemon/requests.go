package daemon

import (
	"context"
	"net/http"

	"greengagequay/internal/entry"
)

func (d *Daemon) startRequests(context.Context) {
	handler := entry.NewRequests(d.Replica, d.Metrics, d.clock)
	d.requests = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	d.run(func() { d.serveHTTP(d.requests, d.bound.requests) })
}
