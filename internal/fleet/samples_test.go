package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/conntrack"
	"greengagequay/internal/pace"
	"greengagequay/internal/steering"
)

// Guards against reports that grow with the load, that hide failures behind answers, or
// that prefer some answers.
func TestSamples(t *testing.T) {
	s, table := newSampler("h1"), steering.Build(nil, nil)
	chosen := [80]int{}
	for range 300 {
		for n := range chosen {
			s.add(table, &conntrack.Outcome{Latency: time.Duration(n) * time.Millisecond, Bytes: 1 << 20})
		}
		s.add(table, &conntrack.Outcome{Kind: conntrack.Refused})
		samples, omitted := s.take()
		qt.Assert(t, []int{len(samples), omitted}, qt.DeepEquals, []int{32, 49})
		qt.Assert(t, samples[0].Kind, qt.Equals, pace.Refused)
		for _, x := range samples[1:] {
			qt.Assert(t, x.Bytes, qt.Equals, uint16(0xffff))
			chosen[x.LatencyMs]++
		}
	}
	for n, times := range chosen { // 116 in the mean, with a standard deviation of 8.4
		qt.Check(t, times > 74 && times < 158, qt.IsTrue, qt.Commentf("answer %d: %d times", n, times))
	}
	for range 40 {
		s.add(table, &conntrack.Outcome{Kind: conntrack.Unanswered})
	}
	samples, omitted := s.take()
	qt.Assert(t, []int{len(samples), omitted}, qt.DeepEquals, []int{32, 8})
}

// Guards against failures of an earlier start that lower the share of the present one: a
// request is known to be unanswered up to 2 s after it was sent.
func TestNoSamplesOfEarlierStart(t *testing.T) {
	s := newSampler("h1")
	table := steering.Build(nil, []catalog.Record{{Heartbeat: catalog.Heartbeat{ID: "x", Born: 2}}})
	for born := range int64(3) {
		s.add(table, &conntrack.Outcome{Server: "x", Born: born, Kind: conntrack.Unanswered})
	}
	samples, _ := s.take()
	qt.Assert(t, samples, qt.HasLen, 1)
}
