package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/metrics"
)

// serveMetrics serves metrics as text until ctx is done. A host works without
// them.
func serveMetrics(ctx context.Context, addr string, m *metrics.Registry, log *eventlog.Log) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		log.Event("metrics", "goes on without metrics", eventlog.Fields{"address": addr, "error": err.Error()})
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", m.ServeText)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}
