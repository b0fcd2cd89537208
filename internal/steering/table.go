// Package steering decides what an entry host does with each packet of a
// caller: which backend server it is forwarded to, whether it is dropped, or
// whether its flow is reset. Packets of an open flow carry the token of their
// backend server, so any entry host can forward them without having seen the
// flow before. The package has no I/O, clock or goroutine.
package steering

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
)

// Token identifies a backend server in the packets of its flows. 0 means none.
type Token uint32

// TokenOf returns the token of a backend server.
func TokenOf(id string) Token {
	token := Token(xxhash.Sum64String(id))
	if token == 0 {
		token = 1
	}
	return token
}

// Server is a backend server in a table.
type Server struct {
	catalog.Record
	Token  Token
	warmup time.Duration // how long it is cold after a start, as its service names it
}

// Table holds the routes and backend servers known to an entry host. It is
// immutable.
type Table struct {
	Version     uint64        // version of the document
	IdleTimeout time.Duration // after which an idle flow may be dropped, 0 if the document does not say
	routes      map[netip.AddrPort]*document.Route
	services    map[string][]*Server
	tokens      map[Token]*Server
	settings    map[string]document.ServiceSettings // of the services that have any, by name
}

// Build returns the table of a document and the known backend servers. If the
// document is nil, the table has no routes.
func Build(d *document.Document, records []catalog.Record) *Table {
	t := &Table{routes: map[netip.AddrPort]*document.Route{}}
	if d != nil {
		t.Version, t.IdleTimeout = d.Version, time.Duration(d.IdleTimeout)*time.Millisecond
		t.settings = make(map[string]document.ServiceSettings, len(d.ServiceSettings))
		for _, s := range d.ServiceSettings {
			t.settings[s.Name] = s
		}
		for i := range d.Routes {
			t.routes[d.Routes[i].Address] = &d.Routes[i]
		}
	}
	return t.WithServers(records)
}

// WithServers returns a table of the same document with other backend servers.
func (t *Table) WithServers(records []catalog.Record) *Table {
	next := &Table{
		Version: t.Version, IdleTimeout: t.IdleTimeout, routes: t.routes, settings: t.settings,
		services: map[string][]*Server{}, tokens: make(map[Token]*Server, len(records)),
	}
	for _, r := range records {
		next.add(&Server{Record: r, Token: TokenOf(r.ID), warmup: next.warmup(r.Service)})
	}
	return next
}

// add adds a backend server. Of two backend servers with the same token, one that
// is not gone has precedence over one that is, then the one that was started
// first. The other gets no flows.
func (t *Table) add(s *Server) {
	other := t.tokens[s.Token]
	if other != nil && other.Status != catalog.Gone && (s.Status == catalog.Gone || other.Born < s.Born) {
		return
	}
	t.tokens[s.Token] = s
	if other != nil {
		t.removeFromService(other)
	}
	if s.Status != catalog.Gone {
		t.services[s.Service] = append(t.services[s.Service], s)
	}
}

// removeFromService removes a backend server from those that take new flows of
// its service.
func (t *Table) removeFromService(s *Server) {
	list := t.services[s.Service]
	for i, other := range list {
		if other == s {
			t.services[s.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Aim returns the target latency of a route, the time within which its requests
// should be answered, 0 if none is set.
func (t *Table) Aim(route netip.AddrPort) time.Duration {
	r := t.routes[route]
	if r == nil {
		return 0
	}
	return time.Duration(r.Aim) * time.Millisecond
}

// Timeout returns the timeout of a route's requests, 0 if no route has the address.
func (t *Table) Timeout(route netip.AddrPort) time.Duration {
	r := t.routes[route]
	if r == nil {
		return 0
	}
	return time.Duration(r.Timeout) * time.Millisecond
}

// Server returns the backend server with a token, or nil.
func (t *Table) Server(token Token) *Server { return t.tokens[token] }

// Ready reports whether the table is sufficient to decide about new flows: it has
// a document and knows backend servers, even if all of them are gone.
func (t *Table) Ready() bool { return t.Version != 0 && len(t.tokens) > 0 }

// Contains reports whether a backend server is known by its token.
func (t *Table) Contains(token Token) bool { return t.tokens[token] != nil }

// Len returns the number of known backend servers.
func (t *Table) Len() int { return len(t.tokens) }
