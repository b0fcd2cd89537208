package fleet

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"greengagequay/internal/admission"
	"greengagequay/internal/evacuation"
	"greengagequay/internal/fault"
	"greengagequay/internal/steering"
)

// WherePath is the path at the metrics address of an entry host that explains where a new
// flow would go. Parameters: caller, and route or service; with service also priority.
const WherePath = "/where"

// WhereAnswer is the answer to GET WherePath.
type WhereAnswer struct {
	Host        string           `json:"host"`
	Zone        string           `json:"zone"`
	Version     uint64           `json:"version"`   // of the document, 0 if the host has none
	ViewAgeMs   int64            `json:"viewAgeMs"` // since the last update of a control host, or since the start if there was none
	Ready       bool             `json:"ready"`     // as the readiness check says
	Caller      string           `json:"caller,omitempty"`
	Route       *WhereRoute      `json:"route,omitempty"` // absent if a service was given
	Service     string           `json:"service"`         // to which the flow goes
	Priority    int              `json:"priority"`
	ZoneShares  []WhereZoneShare `json:"zoneShares"` // of the service's new flows at this host
	PlanZone    string           `json:"planZone"`   // zone that this flow gets by the shares
	Evacuations WhereEvacuations `json:"evacuations"`
	Refusals    []WhereRefusal   `json:"refusals"` // of the service's new flows
	Candidates  []WhereCandidate `json:"candidates"`
	Omitted     int              `json:"omitted,omitempty"` // candidates that a client left out
	Decision    WhereDecision    `json:"decision"`
}

// WhereRoute is a route of the document.
type WhereRoute struct {
	Name     string        `json:"name"`
	Address  string        `json:"address"`
	Services []WhereTarget `json:"services"`
}

// WhereTarget is a service that gets a part of a route's flows.
type WhereTarget struct {
	Service  string `json:"service"`
	Weight   uint32 `json:"weight"`
	Selected bool   `json:"selected"` // whether the hash of the flow selects it
}

// WhereZoneShare is the fraction of new flows that goes to a zone.
type WhereZoneShare struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// WhereEvacuations holds the orders about zones that the host has.
type WhereEvacuations struct {
	Revision uint64   `json:"revision"`
	Zones    []string `json:"zones"`
}

// WhereRefusal is the percentage of a priority's new flows that is refused.
type WhereRefusal struct {
	Priority int `json:"priority"`
	Percent  int `json:"percent"`
}

// WhereCandidate is a backend server of the service.
type WhereCandidate struct {
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	Status   string   `json:"status"`
	Rank     string   `json:"rank"`
	Share    uint8    `json:"share"`          // of steering.FullShare
	Turn     *float64 `json:"turn,omitempty"` // turns until its next one among those of its rank, if the deployment uses shares
	Excluded bool     `json:"excluded"`
	Reason   string   `json:"reason,omitempty"` // of the rank or the exclusion
}

// WhereDecision is the decision about the flow.
type WhereDecision struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Backend string `json:"backend,omitempty"`
	Zone    string `json:"zone,omitempty"` // of the backend server
}

// whereQuery is what a call asks about.
type whereQuery struct {
	flow     steering.Flow // Route is not valid if service is set
	service  string
	priority int
}

// whereRoute adds the explanation of placements to the calls at the metrics address.
func (h *EntryHost) whereRoute(mux *http.ServeMux) {
	mux.HandleFunc("GET "+WherePath, func(w http.ResponseWriter, r *http.Request) {
		q, err := parseWhere(r.URL.Query())
		if err == nil {
			var answer WhereAnswer
			if answer, err = h.where(q); err == nil {
				writeJSON(w, http.StatusOK, answer)
				return
			}
		}
		f := fault.From(err)
		writeJSON(w, statusOf(f.Kind), ErrorBody{Kind: f.Kind, Message: f.Message, Remedy: f.Remedy})
	})
}

func parseWhere(values url.Values) (q whereQuery, err error) {
	for name, list := range values {
		if name != "caller" && name != "route" && name != "service" && name != "priority" {
			return q, fault.New(fault.Invalid, "give caller, and route or service; priority only with service", "unknown parameter %q", name)
		}
		if len(list) > 1 {
			return q, fault.New(fault.Invalid, "give each parameter once", "parameter %s is given %d times", name, len(list))
		}
	}
	route, priority := values.Get("route"), values.Get("priority")
	q.service = values.Get("service")
	if (route == "") == (q.service == "") {
		return q, fault.New(fault.Invalid, "give route=IP:PORT or service=NAME, and not both", "exactly one of route and service is needed")
	}
	if caller := values.Get("caller"); caller != "" || route != "" {
		if q.flow.Caller, err = parseEndpoint("caller", caller); err != nil {
			return q, err
		}
	}
	if route != "" {
		if q.flow.Route, err = parseEndpoint("route", route); err != nil {
			return q, err
		}
	}
	if priority == "" {
		return q, nil
	}
	if q.service == "" {
		return q, fault.New(fault.Invalid, "leave priority out, or give service in place of route", "the priority is that of the route")
	}
	if q.priority, err = strconv.Atoi(priority); err != nil || q.priority < 0 {
		return q, fault.New(fault.Invalid, "give a whole number of at least 0; 0 is the highest priority", "priority %q is not valid", priority)
	}
	return q, nil
}

func parseEndpoint(name, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fault.New(fault.Invalid, "give IP:PORT, such as 100.64.0.1:40000", "%s %q is not an address and port", name, text)
	}
	return addr, nil
}

// where explains where a new flow would go now. A host that cannot place flows yet
// answers with the decision to drop the packet.
func (h *EntryHost) where(q whereQuery) (WhereAnswer, error) {
	v := h.viewOf(q)
	if v.Decision.Reason == steering.NoRoute {
		return WhereAnswer{}, notKnown("route", q.flow.Route.String(), v.table.Version, v.table.Routes())
	}
	if services := v.table.Services(); q.service != "" && v.Decision.Reason != steering.NoState && !slices.Contains(services, q.service) {
		return WhereAnswer{}, notKnown("service", q.service, v.table.Version, services)
	}
	a := WhereAnswer{
		Host: h.cfg.Name, Zone: h.cfg.Zone, Version: v.table.Version, ViewAgeMs: v.age.Milliseconds(), Ready: v.ready,
		Route: routeAnswer(v.Explanation), Service: v.Service, Priority: v.Priority, PlanZone: cmp.Or(v.PlanZone, h.cfg.Zone),
		Candidates: []WhereCandidate{}, Decision: WhereDecision{Verdict: v.Decision.Verdict.String(), Reason: v.Decision.Reason.String()},
	}
	if q.flow.Caller.IsValid() {
		a.Caller = q.flow.Caller.String()
	}
	if server := v.Decision.Server; server != nil {
		a.Decision.Backend, a.Decision.Zone = server.ID, server.Zone
	}
	a.addRules(v)
	for _, x := range v.Candidates {
		c := WhereCandidate{
			ID: x.Server.ID, Zone: x.Server.Zone, Status: x.Server.Status.String(),
			Rank: x.Rank, Share: x.Share, Excluded: x.Excluded, Reason: x.Reason,
		}
		if x.HasTurn {
			c.Turn = &x.Turn
		}
		a.Candidates = append(a.Candidates, c)
	}
	return a, nil
}

// whereView holds what an answer is made of, as of one moment.
type whereView struct {
	steering.Explanation
	table    *steering.Table
	orders   evacuation.Set
	shares   []steering.ZoneShare
	refusals []admission.Refusal
	age      time.Duration
	ready    bool
}

// viewOf returns what the answer to a call is made of. Packets wait meanwhile.
func (h *EntryHost) viewOf(q whereQuery) (v whereView) {
	v.ready = h.ready()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if q.service != "" {
		v.Explanation = h.steerer.ExplainService(now, q.service, q.priority)
	} else {
		v.Explanation = h.steerer.Explain(now, q.flow)
	}
	v.table, v.orders, v.age = h.steerer.Table(), h.steerer.Evacuations(), now-h.lastUpdateAt
	v.shares, v.refusals = h.steerer.Plan(v.Service)
	return v
}

// addRules adds the evacuations, zone shares and refusals in force.
func (a *WhereAnswer) addRules(v whereView) {
	a.Evacuations = WhereEvacuations{Revision: v.orders.Revision, Zones: []string{}}
	for _, z := range v.orders.Evacuated() {
		a.Evacuations.Zones = append(a.Evacuations.Zones, z.Zone)
	}
	own := 1.0
	a.ZoneShares, a.Refusals = []WhereZoneShare{}, []WhereRefusal{}
	for _, s := range v.shares {
		own -= s.Share
		a.ZoneShares = append(a.ZoneShares, WhereZoneShare{Zone: s.Zone, Share: s.Share})
	}
	a.ZoneShares = append(a.ZoneShares, WhereZoneShare{Zone: a.Zone, Share: max(0, own)})
	for _, r := range v.refusals {
		a.Refusals = append(a.Refusals, WhereRefusal{Priority: r.Priority, Percent: r.Percent})
	}
}

func routeAnswer(e steering.Explanation) *WhereRoute {
	if e.Route == nil {
		return nil
	}
	r := &WhereRoute{Name: e.Route.Name, Address: e.Route.Address.String()}
	for _, t := range e.Route.Targets {
		r.Services = append(r.Services, WhereTarget{Service: t.Service, Weight: t.Weight, Selected: t.Service == e.Service})
	}
	return r
}

// maxListedNames limits the names in an error.
const maxListedNames = 10

// notKnown returns the error for a route or service that the document of this host does
// not have.
func notKnown[T any](what, name string, version uint64, known []T) error {
	var names []string
	for _, x := range known[:min(maxListedNames, len(known))] {
		names = append(names, fmt.Sprint(x))
	}
	list := strings.Join(names, ", ")
	if more := len(known) - len(names); more > 0 {
		list += fmt.Sprintf(" and %d more", more)
	}
	return fault.New(fault.NotFound, "give one of these, or put a document with it",
		"no %s %q in version %d of the document; known: %s", what, name, version, list)
}
