// Package choose picks a backend server for a request.
package choose

import (
	"math/rand/v2"

	"greengagequay/internal/fault"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/table"
)

// Filter is the choose filter.
type Filter struct{ Replica *replica.Replica }

// Name returns "choose".
func (*Filter) Name() string { return "choose" }

// Handle sets the request's backend server.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	ready := readyBackends(f.Replica.Table(), r.Service)
	if len(ready) == 0 {
		return fault.New(fault.NoBackend, "wait until a backend server is ready", "service %q has no ready backend server", r.Service)
	}
	r.Backend = ready[rand.IntN(len(ready))].ID
	return next.Handle(r)
}

func readyBackends(t *table.Table, service string) []table.Backend {
	var ready []table.Backend
	for _, b := range t.Backends {
		if b.Service == service && b.State == model.Ready && b.Request.IsValid() {
			ready = append(ready, b)
		}
	}
	return ready
}
