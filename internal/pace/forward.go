package pace

import "time"

// maxForwarded limits the samples that are forwarded at once, about 5.6 KB.
const maxForwarded = 256

// ZoneSamples holds samples of entry hosts in one zone.
type ZoneSamples struct {
	Zone    string   `cbor:"1,keyasint"`
	Samples []Sample `cbor:"2,keyasint"`
}

// recentSample is a sample that was added since the last call of TakeForwarded.
type recentSample struct {
	server *server
	zone   string
	sample Sample
}

func (p *Pool) collect(s *server, zone string, x Sample, failed bool) {
	p.recent = append(p.recent, recentSample{s, zone, x})
	s.failed = s.failed || failed
}

// TakeForwarded returns the samples since the last call of those backend servers that had
// a failure among them, for the other control hosts of the zone. Each of these sees a part
// of the answers only, too few to judge soon. Answers are included, since failures alone
// would make the backend server look worse than it is.
func (p *Pool) TakeForwarded() []ZoneSamples {
	var list []ZoneSamples
	at, n := map[string]int{}, 0
	for _, x := range p.recent {
		if !x.server.failed || n == maxForwarded {
			continue
		}
		n++
		i, known := at[x.zone]
		if !known {
			i = len(list)
			at[x.zone], list = i, append(list, ZoneSamples{Zone: x.zone})
		}
		list[i].Samples = append(list[i].Samples, x.sample)
	}
	for _, x := range p.recent {
		x.server.failed = false
	}
	clear(p.recent) // releases backend servers that are gone
	p.recent = p.recent[:0]
	return list
}

// AddForwarded adds samples that another control host forwarded.
func (p *Pool) AddForwarded(now time.Duration, list []ZoneSamples) {
	for _, z := range list {
		for _, x := range z.Samples {
			p.addSample(now, z.Zone, x)
		}
	}
}
