// Package identify reads service, customer, class and key of a request.
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

// Defaults for requests that name no customer or class.
const (
	defaultCustomer = "none"
	defaultClass    = "default"
)

// maxField is the greatest length of a header that names something, in bytes.
const maxField = 128

// Filter is the identify filter.
type Filter struct{ Replica *replica.Replica }

// Name returns "identify".
func (*Filter) Name() string { return "identify" }

// Handle fills in the request's fields and refuses unknown services.
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
		if len(field) > maxField {
			return fault.New(fault.Invalid, "use at most 128 bytes", "request header %.20q... is too long", field)
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

// readKeyTime reads when the caller made the key.
func readKeyTime(r *request.Request) error {
	text := r.HTTP.Header.Get(request.HeaderKeyTime)
	if text == "" {
		return nil
	}
	made, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return fault.New(fault.Invalid, `use a time such as "2006-01-02T15:04:05Z"`, "request header %s has value %q", request.HeaderKeyTime, text)
	}
	r.KeyTime = made
	return nil
}

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
