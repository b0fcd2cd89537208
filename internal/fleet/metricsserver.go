package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/metrics"
)

// serveMetrics serves metrics as text, and what routes add, until ctx is done. If it
// cannot listen, it logs that, and the host runs without metrics.
func serveMetrics(ctx context.Context, addr string, m *metrics.Registry, log *eventlog.Log, routes ...func(*http.ServeMux)) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		log.Event("metrics", "could not listen; this host serves no metrics", eventlog.Fields{"address": addr, "error": err.Error()})
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", m.ServeText)
	for _, add := range routes {
		add(mux)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}
