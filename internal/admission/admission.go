// Package admission decides which new flows are refused when the demand for a service
// exceeds the room of all zones together: those of the routes with the lowest priority
// first, and only as many as are too many. It answers bursts in which every request
// would be late if all were admitted. The package uses no I/O and no clock.
package admission

import (
	"cmp"
	"slices"
)

const (
	// stepPercent is the part of a class's new flows by which a refusal changes at once.
	// Demand is averaged over some seconds, so a larger step would overshoot.
	stepPercent = 10
	// slowStepPercent is the step by which refusals are withdrawn while most slots are
	// in use. Equal steps in both directions made every second interval late.
	slowStepPercent = 2
	// maxPercent leaves a few flows of each class, whose requests show when there is room
	// again.
	maxPercent = 90
	// ampleRoom is the fraction of the slots in use below which refusals are withdrawn in
	// full steps.
	ampleRoom = 0.8
	// relaxedPressure is the response time, as a fraction of the target latency, below
	// which refusals are withdrawn.
	relaxedPressure = 0.7
)

// Class is the demand of the requests of one priority for a service.
type Class struct {
	Service  string
	Priority int     // 0 is the highest
	Busy     float64 // mean number of requests in progress
	Pressure float64 // mean response time divided by the target latency
}

// Refusal is the part of the new flows of one class that is refused.
type Refusal struct {
	Service  string
	Priority int
	Percent  int
}

// Controller holds the refusals in force. It is not safe for concurrent use.
type Controller struct{ refused map[string][]Refusal } // by service, lowest priority first

// NewController returns a controller that refuses nothing.
func NewController() *Controller { return &Controller{refused: map[string][]Refusal{}} }

// Tick adapts the refusals of a service to its demand, and returns them. slots is the
// number of slots of all usable backend servers. Nothing is refused while more slots
// are free than requests are in progress, however slow the answers are, nor without any
// slots: the flows are refused for that reason then, and refusals from before would
// meet the first flows after backend servers return.
func (c *Controller) Tick(service string, classes []Class, slots float64) []Refusal {
	classes = slices.Clone(classes)
	slices.SortFunc(classes, func(a, b Class) int { return cmp.Compare(b.Priority, a.Priority) })
	busy, pressure := 0.0, 0.0
	for _, x := range classes {
		busy += x.Busy
		pressure = max(pressure, x.Pressure)
	}
	switch {
	case slots <= 0:
		delete(c.refused, service)
	case busy > slots && pressure > 1:
		c.raise(service, classes)
	case busy < ampleRoom*slots:
		c.lower(service, stepPercent)
	case busy < slots || pressure < relaxedPressure:
		c.lower(service, slowStepPercent)
	}
	return slices.Clone(c.refused[service])
}

// raise refuses more of the lowest class that is not refused as far as possible. The
// highest class is refused too once all others are: then it exceeds the slots alone.
func (c *Controller) raise(service string, classes []Class) {
	list := c.refused[service]
	for _, x := range classes {
		at := slices.IndexFunc(list, func(r Refusal) bool { return r.Priority == x.Priority })
		if at < 0 {
			list = append(list, Refusal{Service: service, Priority: x.Priority})
			at = len(list) - 1
		}
		if list[at].Percent < maxPercent {
			list[at].Percent = min(maxPercent, list[at].Percent+stepPercent)
			break
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return cmp.Compare(b.Priority, a.Priority) })
	c.refused[service] = list
}

// lower withdraws refusals, those of the highest priority first.
func (c *Controller) lower(service string, percent int) {
	list := c.refused[service]
	if len(list) == 0 {
		return
	}
	last := &list[len(list)-1]
	last.Percent -= percent
	if last.Percent <= 0 {
		list = list[:len(list)-1]
	}
	c.refused[service] = list
}
