// Package spread decides which part of the new flows of each availability zone goes to
// the backend servers of other zones. It answers demand that exceeds the room of a zone
// while other zones have some: waves whose phases differ by zone, a burst in one zone,
// and zones that lose backend servers. A zone uses its own backend servers while they
// have room, since bytes between zones are expensive. The package uses no I/O and no
// clock.
package spread

// Demand is the load that callers of one zone put on a service.
type Demand struct {
	Service  string
	Zone     string  // zone of the entry hosts
	Priority int     // of the routes of the requests, 0 is the highest
	Busy     float64 // mean number of requests in progress
	Pressure float64 // mean response time divided by the target latency of the routes
}

// Room is what the backend servers of a service in one zone can take.
type Room struct {
	Service string
	Zone    string
	Slots   float64 // slots of all usable backend servers, weighted with their share
}

// ZoneShare is the fraction of the new flows of a service, at entry hosts of one zone,
// that go to backend servers of another.
type ZoneShare struct {
	Service string
	From    string // zone of the entry hosts
	To      string // zone of the backend servers
	Share   float64
}
