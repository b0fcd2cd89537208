package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagequay/internal/load"
)

// loadGrace is the time that a run may take in addition to the period in which
// requests arrive.
const loadGrace = time.Minute

type loadCmd struct {
	Rate          float64       `help:"Requests per second." default:"500"`
	Duration      time.Duration `help:"Period in which requests arrive." default:"5s"`
	Hosts         int           `help:"Entry hosts in each of two availability zones." default:"3"`
	Backends      int           `help:"Backend servers." default:"14"`
	Slots         int           `help:"Slots of a backend server." default:"3"`
	Service       time.Duration `help:"Mean service time." default:"50ms"`
	Customers     int           `help:"Customers." default:"4"`
	Uploads       float64       `help:"Share of requests that are uploads." default:"0.05"`
	Keys          float64       `help:"Share of requests with a request key, which run at most once." default:"0.2"`
	Deadline      time.Duration `help:"Timeout of a request." default:"2s"`
	Seed          uint64        `help:"Seed of random choices." default:"1"`
	Targets       []string      `help:"Request addresses, IP:port, of entry hosts of a running system. If absent, a system is started on loopback." name:"target"`
	TargetService string        `help:"Service requested from the targets." name:"target-service" default:"pantanir"`
	Plot          string        `help:"Write the distribution of latency to this .svg file." type:"path"`
}

func (c *loadCmd) Run(e *env) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Duration+loadGrace)
	defer cancel()
	r, err := load.Run(ctx, load.Options{
		Rate: c.Rate, Duration: c.Duration, Hosts: c.Hosts, Backends: c.Backends, Slots: c.Slots,
		Service: c.Service, Customers: c.Customers, Uploads: c.Uploads, Keys: c.Keys,
		Timeout: c.Deadline, Seed: c.Seed, Targets: c.Targets, TargetService: c.TargetService,
	})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	return e.print(r, "MEASURE\tVALUE", loadRows(r))
}

func loadRows(r load.Report) [][]any {
	rows := [][]any{{"requests offered", r.Offered}}
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		rows = append(rows, []any{"requests " + outcome, r.Outcomes[outcome]})
	}
	for _, class := range slices.Sorted(maps.Keys(r.Latency)) {
		l := r.Latency[class]
		rows = append(rows, []any{class + " latency median / p99 / max, ms", fmt.Sprintf("%.1f / %.1f / %.1f", l.Median, l.P99, l.Max)})
	}
	return append(rows,
		[]any{"requests per backend server, max/mean", fmt.Sprintf("%.3f", r.Imbalance)},
		[]any{"slots exceeded", r.SlotsExceeded},
		[]any{"keys run more than once", r.KeysRunTwice},
		[]any{"wrong answers", r.WrongAnswers})
}
