package fleet

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/conntrack"
	"greengagequay/internal/pace"
	"greengagequay/internal/steering"
)

// maxSamples is the number of samples in one report. Two reports of 716 bytes a second
// take 1.4 KB/s to each followed control host.
const maxSamples = 32

// sampler chooses the outcomes that an entry host reports: failures first, the rest a
// uniform choice. It is not safe for concurrent use.
type sampler struct {
	rng      *rand.Rand
	failures reservoir
	answers  reservoir
}

// newSampler returns a sampler whose choices depend on the name of the host only.
func newSampler(host string) *sampler {
	return &sampler{rng: rand.New(rand.NewPCG(xxhash.Sum64String(host), 0))}
}

// add adds an outcome, unless the table knows a backend server as another start than the
// one that it is about. Samples do not name a start, so that control hosts would count it
// against the present one.
func (s *sampler) add(t *steering.Table, o *conntrack.Outcome) {
	token := steering.TokenOf(o.Server)
	if known := t.Server(token); known != nil && (known.ID != o.Server || known.Born != o.Born) {
		return
	}
	x := pace.Sample{Token: uint32(token), Route: routeHash(o.Route)}
	switch o.Kind {
	case conntrack.Answered:
		x.Kind, x.LatencyMs, x.Bytes = pace.Answered, toUint16(o.Latency.Milliseconds()), toUint16(int64(o.Bytes))
		s.answers.add(s.rng, x)
		return
	case conntrack.Refused:
		x.Kind = pace.Refused
	case conntrack.Unanswered:
		x.Kind = pace.Unanswered
	}
	s.failures.add(s.rng, x)
}

func toUint16(n int64) uint16 { return uint16(min(n, math.MaxUint16)) }

// take returns the samples of the outcomes since the last call, and the number of
// outcomes that they leave out.
func (s *sampler) take() (samples []pace.Sample, omitted int) {
	answers := s.answers.kept
	s.rng.Shuffle(len(answers), func(i, j int) { answers[i], answers[j] = answers[j], answers[i] })
	samples = append(samples, s.failures.kept...)
	samples = append(samples, answers[:min(len(answers), maxSamples-len(samples))]...)
	omitted = s.failures.seen + s.answers.seen - len(samples)
	s.failures, s.answers = reservoir{}, reservoir{}
	return samples, omitted
}

// reservoir keeps a uniform choice of at most maxSamples samples.
type reservoir struct {
	kept []pace.Sample
	seen int
}

func (r *reservoir) add(rng *rand.Rand, x pace.Sample) {
	r.seen++
	if len(r.kept) < maxSamples {
		r.kept = append(r.kept, x)
	} else if i := rng.IntN(r.seen); i < maxSamples {
		r.kept[i] = x
	}
}

// routeHash returns a hash of the address of a route that is the same on all hosts.
func routeHash(a netip.AddrPort) uint32 {
	addr := a.Addr().As16()
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint16(addr[:], a.Port())))
}
