package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"greengagequay/internal/admission"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/pace"
	"greengagequay/internal/spread"
)

// firstPlanDelay is the time from the first tick of a control host to its first plan and
// refusals. Within it followers connect, and the other control hosts send their demand.
const firstPlanDelay = 3 * time.Second

// zonePlanner is a control host's view of the load of services in each zone. The holder
// of ControlHost.mu uses it.
type zonePlanner struct {
	planner    *spread.Planner
	controller *admission.Controller
	own        map[demandKey]*answerSum // answers that followers reported since ownSince
	ownSince   time.Duration
	startedAt  time.Duration // time of the first tick, if started is set
	started    bool
	routes     map[uint32]*document.Route // by hash of the address
	document   *document.Document         // to which routes belongs

	demands         []spread.Demand // demand of the followers, for other control hosts
	demandsRevision uint64
	plan            []spread.ZoneShare
	refusals        []admission.Refusal
	planRevision    uint64
	gauges          map[string]int64 // values of the plan's gauges that are not 0
}

type demandKey struct {
	service, zone string
	priority      int
}

// answerSum sums up answers.
type answerSum struct {
	busyMs   float64 // response times in milliseconds
	pressure float64 // response times divided by the target latency
	answers  float64
}

func newZonePlanner() zonePlanner {
	return zonePlanner{planner: spread.NewPlanner(), controller: admission.NewController(), own: map[demandKey]*answerSum{}}
}

// addReport adds the answers in a report of an entry host in a zone, unless another
// control host counts them. Those that the report leaves out count like the mean of the
// others: all failures are in the samples if any answer is.
func (z *zonePlanner) addReport(zone string, r feed.Report, pool *pace.Pool, d *document.Document) {
	if r.DemandElsewhere {
		return
	}
	z.indexRoutes(d)
	answers := 0
	for _, x := range r.Samples {
		if x.Kind == pace.Answered {
			answers++
		}
	}
	scale := 1 + float64(r.Unsampled)/float64(max(answers, 1))
	for _, x := range r.Samples {
		server, known := pool.Find(x.Token)
		route := z.routes[x.Route]
		if x.Kind != pace.Answered || !known || route == nil {
			continue
		}
		key := demandKey{server.Service, zone, route.Priority}
		sum := z.own[key]
		if sum == nil {
			sum = &answerSum{}
			z.own[key] = sum
		}
		sum.busyMs += scale * float64(x.LatencyMs)
		sum.answers += scale
		if route.Aim > 0 {
			sum.pressure += scale * float64(x.LatencyMs) / float64(route.Aim)
		}
	}
}

// indexRoutes indexes the routes of a document by hash, if it is another one.
func (z *zonePlanner) indexRoutes(d *document.Document) {
	if d == nil || d == z.document {
		return
	}
	z.document, z.routes = d, make(map[uint32]*document.Route, len(d.Routes))
	for i := range d.Routes {
		z.routes[routeHash(d.Routes[i].Address)] = &d.Routes[i]
	}
}

// takeDemands returns the demand of the followers since the last call.
func (z *zonePlanner) takeDemands(now time.Duration) []spread.Demand {
	elapsedMs := float64(now-z.ownSince) / float64(time.Millisecond)
	var list []spread.Demand
	for key, sum := range z.own {
		list = append(list, spread.Demand{
			Service: key.service, Zone: key.zone, Priority: key.priority, Busy: sum.busyMs / elapsedMs, Pressure: sum.pressure / sum.answers,
		})
	}
	z.ownSince = now
	clear(z.own)
	return list
}

// tick updates the demand and the plan. It reports whether other control hosts must be
// told of the demand, and entry hosts of the plan. self is the address of this host.
func (z *zonePlanner) tick(now time.Duration, self string, rooms []spread.Room) (demandChanged, planChanged bool) {
	if !z.started {
		z.started, z.startedAt = true, now
	}
	hadDemand := len(z.demands) > 0
	z.demands = z.takeDemands(now)
	if demandChanged = hadDemand || len(z.demands) > 0; demandChanged {
		z.demandsRevision++
	}
	z.planner.Receive(now, self, z.demands)
	plan, planChanged := z.planner.Tick(now, rooms)
	if now-z.startedAt < firstPlanDelay {
		return demandChanged, false
	}
	refusals := z.refuse(rooms)
	// The first plan is sent even if it is empty: it replaces that of a control host that
	// is gone.
	if planChanged = planChanged || z.planRevision == 0 || !slices.Equal(refusals, z.refusals); planChanged {
		z.plan, z.refusals = plan, refusals
		z.planRevision++
	}
	return demandChanged, planChanged
}

// tickZones updates the demand and the plan. It reports whether followers must be told.
// It is called with each tick of the shares; the caller holds mu.
func (h *ControlHost) tickZones() bool {
	demandChanged, planChanged := h.zones.tick(h.now(), h.info.Addr, h.rooms())
	if planChanged {
		h.logPlan()
	}
	return demandChanged || planChanged
}

// rooms returns the room of each service in each zone that is not evacuated. Backend
// servers that are cold by the bound for them have none. The caller holds mu.
func (h *ControlHost) rooms() []spread.Room {
	evacuated := map[string]bool{}
	for _, zone := range h.orders.set.Evacuated() {
		evacuated[zone.Zone] = true
	}
	now, bounded := h.now(), h.cold.isBounded()
	return roomsOf(h.shares.pool, func(s pace.Server) bool {
		return !evacuated[s.Zone] && !(bounded && h.catalog.IsCold(now, s.ID))
	})
}

// roomsOf returns the room of the usable backend servers of each service in each zone.
// Silent ones have none.
func roomsOf(pool *pace.Pool, isUsable func(pace.Server) bool) []spread.Room {
	type key struct{ service, zone string }
	slots := map[key]float64{}
	pool.Each(func(s pace.Server, share uint8) {
		if !s.Silent && isUsable(s) {
			slots[key{s.Service, s.Zone}] += float64(s.Slots) * float64(share) / pace.FullShare
		}
	})
	var rooms []spread.Room
	for k, n := range slots {
		rooms = append(rooms, spread.Room{Service: k.service, Zone: k.zone, Slots: n})
	}
	return rooms
}

// refuse adapts the refusals of all services to the averaged demand.
func (z *zonePlanner) refuse(rooms []spread.Room) []admission.Refusal {
	slots := map[string]float64{}
	for _, r := range rooms {
		slots[r.Service] += r.Slots
	}
	classes := map[string]map[int]admission.Class{}
	for _, d := range z.planner.Demands() {
		if classes[d.Service] == nil {
			classes[d.Service] = map[int]admission.Class{}
		}
		c := classes[d.Service][d.Priority]
		if total := c.Busy + d.Busy; total > 0 {
			c.Pressure = (c.Pressure*c.Busy + d.Pressure*d.Busy) / total
		}
		c.Service, c.Priority, c.Busy = d.Service, d.Priority, c.Busy+d.Busy
		classes[d.Service][d.Priority] = c
	}
	services := maps.Clone(slots) // and those that have demand only
	for service := range classes {
		services[service] += 0
	}
	var all []admission.Refusal
	for _, service := range slices.Sorted(maps.Keys(services)) {
		all = append(all, z.controller.Tick(service, slices.Collect(maps.Values(classes[service])), slots[service])...)
	}
	return all
}

// logPlan logs the plan and the refusals in force and updates their metrics.
func (h *ControlHost) logPlan() {
	z := &h.zones
	away := map[string]float64{}
	for _, s := range z.plan {
		away[s.Service+"."+s.From] += s.Share
	}
	refused := map[string]int{}
	for _, r := range z.refusals {
		refused[fmt.Sprintf("%s.%d", r.Service, r.Priority)] = r.Percent
	}
	gauges := map[string]int64{}
	for name, share := range away {
		gauges["spread.away_percent."+name] = int64(math.Round(100 * share))
	}
	for name, percent := range refused {
		gauges["admission.refused_percent."+name] = int64(percent)
	}
	for name := range z.gauges {
		if _, ok := gauges[name]; !ok {
			h.metrics.Gauge(name).Update(0)
		}
	}
	for name, value := range gauges {
		h.metrics.Gauge(name).Update(value)
	}
	z.gauges = gauges
	if h.log.Allow("plan") {
		h.log.Write("plan", "changed the fractions of new flows that leave their zone or are refused", eventlog.Fields{"away": away, "refused_percent": refused})
	}
}
