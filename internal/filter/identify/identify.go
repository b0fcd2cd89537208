// Package identify determines the service, customer, class and key of a request.
package identify

import (
	"net"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// Defaults for requests without a customer or class.
const (
	defaultCustomer = "none"
	defaultClass    = "default"
)

// maxFieldBytes is the maximum length of the service, customer, class and key.
const maxFieldBytes = 128

type Filter struct{ Replica *replica.Replica }

func (*Filter) Name() string { return "identify" }

// Handle sets the request's fields and refuses malformed requests and unknown
// services.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	h := r.HTTP.Header
	r.Service = h.Get(request.HeaderService)
	if r.Service == "" {
		r.Service = hostName(r.HTTP.Host)
	}
	r.Customer = withDefault(h.Get(request.HeaderCustomer), defaultCustomer)
	r.Class = withDefault(h.Get(request.HeaderClass), defaultClass)
	r.Key = h.Get(request.HeaderKey)
	for _, field := range []string{r.Service, r.Customer, r.Class, r.Key} {
		if len(field) > maxFieldBytes {
			return fault.New(fault.Invalid, "use at most 128 bytes", "value %.20q... of a request header is too long", field)
		}
	}
	if err := readKeyTime(r); err != nil {
		return err
	}
	if f.Replica.Table().ByName[r.Service] == nil {
		return fault.New(fault.NotFound, "name a service in "+request.HeaderService, "service %q does not exist", r.Service)
	}
	r.Body = request.NewBody(r.HTTP.Body, f.bodyLimit(r.Service))
	return next.Handle(r)
}

func (f *Filter) bodyLimit(service string) (limit int) {
	f.Replica.Read(func(s *state.State) {
		limit = s.Tree.Int(settings.Path(service), settings.RequestBodyBuffer)
	})
	return limit
}

// readKeyTime reads the time at which the caller created the key.
func readKeyTime(r *request.Request) error {
	text := r.HTTP.Header.Get(request.HeaderKeyTime)
	if text == "" {
		return nil
	}
	created, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return fault.New(fault.Invalid, `use a time such as "2006-01-02T15:04:05Z"`, "request header %s has value %q", request.HeaderKeyTime, text)
	}
	r.KeyTime = created
	return nil
}

// hostName returns the host without its port.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

func withDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
