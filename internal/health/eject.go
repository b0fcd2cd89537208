package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"greengagequay/internal/model"
)

// rounding makes up for the error of a product of floating point numbers.
const rounding = 1e-9

// weigh counts the votes. Those of the data path outvote those of probes.
func (c *Core) weigh(now time.Time, b model.Backend, live map[string]string) {
	j := c.judged[b.ID]
	if j == nil {
		j = &judgement{}
		c.judged[b.ID] = j
	}
	j.service = b.Service
	var dataBad, dataGood, probeBad int
	for host, v := range c.votes[b.ID] {
		switch {
		case live[host] == "":
		case v.Data && v.Bad:
			dataBad++
		case v.Data:
			dataGood++
		case v.Bad:
			probeBad++
		}
	}
	near := 0
	for _, zone := range live {
		if zone == b.Zone {
			near++
		}
	}
	need := max(1, min(votesForBad, near))
	bad := dataBad+probeBad >= need && dataBad >= dataGood
	if bad && !j.bad {
		j.badFrom = now
	}
	j.bad = bad
}

// eject takes out the bad backend servers, the longest bad first, as far as
// the share of their service allows.
func (c *Core) eject(now time.Time) []Event {
	byService := map[string][]string{}
	for id, j := range c.judged {
		byService[j.service] = append(byService[j.service], id)
	}
	var events []Event
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		events = append(events, c.ejectOf(now, service, byService[service])...)
	}
	return events
}

func (c *Core) ejectOf(now time.Time, service string, ids []string) []Event {
	allowed := int(c.EjectShare(service)*float64(len(ids)) + rounding)
	slices.SortFunc(ids, func(a, b string) int {
		x, y := c.judged[a], c.judged[b]
		return cmp.Or(cmpBool(y.out, x.out), x.badFrom.Compare(y.badFrom), cmp.Compare(a, b))
	})
	var events []Event
	out, open := 0, false
	for _, id := range ids {
		j := c.judged[id]
		want := j.bad || (j.out && now.Sub(j.since) < j.outTime())
		open = open || (want && out >= allowed)
		want = want && out < allowed
		if want {
			out++
		}
		if want != j.out {
			j.turn(now, want)
			events = append(events, Event{Service: service, Backend: id, Ejected: want, Returned: !want})
		}
	}
	if open != c.failOpen[service] {
		c.failOpen[service] = open
		events = append(events, Event{Service: service, FailOpen: open})
	}
	return events
}

func (j *judgement) turn(now time.Time, out bool) {
	if out {
		if now.Sub(j.since) > forgiven {
			j.times = 0
		}
		j.times++
	}
	j.out, j.since = out, now
}

// outTime is the least time of an ejection. It grows with each one, so that a
// backend server that is good and bad in turn does not come and go.
func (j *judgement) outTime() time.Duration {
	d := minOut
	for range j.times - 1 {
		d = min(maxOut, 2*d)
	}
	return d
}

func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
