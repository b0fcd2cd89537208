package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/conntrack"
	"greengagequay/internal/pace"
)

// Guards against reports that grow with the load, that hide failures behind answers, or
// that prefer some answers.
func TestSamples(t *testing.T) {
	c := qt.New(t)
	s := newSampler("h1")
	chosen := map[uint16]int{}
	const rounds, answers = 300, 80
	for range rounds {
		for n := range answers {
			s.add(&conntrack.Outcome{Server: "a", Latency: time.Duration(n) * time.Millisecond, Bytes: 1 << 20})
		}
		for range 2 {
			s.add(&conntrack.Outcome{Server: "b", Kind: conntrack.Refused})
		}
		samples, omitted := s.take()
		c.Assert(samples, qt.HasLen, maxSamples)
		c.Assert(omitted, qt.Equals, answers+2-maxSamples)
		for i, x := range samples {
			c.Assert(x.Kind != pace.Answered, qt.Equals, i < 2)
			if x.Kind == pace.Answered {
				c.Assert(x.Bytes, qt.Equals, uint16(0xffff))
				chosen[x.LatencyMs]++
			}
		}
	}
	mean := float64(rounds*(maxSamples-2)) / answers
	for n := range uint16(answers) { // 5 standard deviations
		c.Check(float64(chosen[n]) > 0.6*mean && float64(chosen[n]) < 1.4*mean, qt.IsTrue, qt.Commentf("answer %d: %d times", n, chosen[n]))
	}
	for n := range 40 {
		s.add(&conntrack.Outcome{Server: fmt.Sprint(n), Kind: conntrack.Unanswered})
	}
	samples, omitted := s.take()
	c.Assert(len(samples), qt.Equals, maxSamples)
	c.Assert(omitted, qt.Equals, 8)
	samples, omitted = s.take()
	c.Assert(samples, qt.HasLen, 0)
	c.Assert(omitted, qt.Equals, 0)
}
