package spread

import (
	"maps"
	"slices"
)

const (
	// homeLimit is the fraction of the slots of its own zone that a zone uses before its
	// new flows go to other zones. Arrivals are uneven: at 0.7 of two slots a backend
	// server rarely queues more than one request.
	homeLimit = 0.7
	// minShare is the smallest share worth sending to another zone.
	minShare = 0.02
)

// zoneKey identifies a service in a zone.
type zoneKey struct{ service, zone string }

// Plan returns the shares that leave their zone, ordered by service, From and To. It
// depends on demand and room only, and not on where the work goes now, so that a plan
// in force does not change the next one.
func Plan(demands []Demand, rooms []Room) []ZoneShare {
	busy, slots := map[zoneKey]float64{}, map[zoneKey]float64{}
	services := map[string]map[string]bool{}
	add := func(into map[zoneKey]float64, service, zone string, amount float64) {
		into[zoneKey{service, zone}] += max(0, amount)
		if services[service] == nil {
			services[service] = map[string]bool{}
		}
		services[service][zone] = true
	}
	for _, d := range demands {
		add(busy, d.Service, d.Zone, d.Busy)
	}
	for _, r := range rooms {
		add(slots, r.Service, r.Zone, r.Slots)
	}
	var plan []ZoneShare
	for _, service := range slices.Sorted(maps.Keys(services)) {
		zones := slices.Sorted(maps.Keys(services[service]))
		plan = append(plan, planService(service, zones, busy, slots)...)
	}
	return plan
}

// planService plans for one service. Each zone keeps what fits into the limit of its
// own slots, and the excess goes to the zones below the limit in proportion to what is
// free there. If demand exceeds the limit everywhere, the limit rises to the fraction
// at which all zones are equally full.
func planService(service string, zones []string, busy, slots map[zoneKey]float64) []ZoneShare {
	demand, capacity := 0.0, 0.0
	for _, zone := range zones {
		demand += busy[zoneKey{service, zone}]
		capacity += slots[zoneKey{service, zone}]
	}
	if demand == 0 || capacity == 0 {
		return nil
	}
	limit := max(homeLimit, demand/capacity)
	free, totalFree := map[string]float64{}, 0.0
	for _, zone := range zones {
		k := zoneKey{service, zone}
		free[zone] = max(0, limit*slots[k]-busy[k])
		totalFree += free[zone]
	}
	if totalFree == 0 {
		return nil
	}
	var plan []ZoneShare
	for _, from := range zones {
		k := zoneKey{service, from}
		excess := max(0, busy[k]-limit*slots[k])
		for _, to := range zones {
			if share := excess / max(busy[k], excess) * free[to] / totalFree; excess > 0 && share >= minShare {
				plan = append(plan, ZoneShare{Service: service, From: from, To: to, Share: share})
			}
		}
	}
	return plan
}
