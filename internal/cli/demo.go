package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"greengagequay/internal/demo"
)

// demoTimeout limits the run time of a demonstration.
const demoTimeout = 55 * time.Second

type demoCmd struct {
	Flows    int    `help:"Flows per service." default:"200"`
	Requests int    `help:"Requests in each of two rounds." default:"40"`
	Seed     uint64 `help:"Seed of random choices." default:"1"`
	JSON     bool   `help:"Print JSON." name:"json"`
}

func (c *demoCmd) Run(e *env) error {
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	o := demo.Options{Flows: c.Flows, Requests: c.Requests, Seed: c.Seed}
	if isTerminal(os.Stderr) {
		o.Progress = e.err
	}
	if c.JSON {
		e.Output = "json"
	}
	r, err := demo.Run(ctx, o)
	printErr := e.print(r, "MEASURE\tVALUE", [][]any{
		{"flows opened", r.FlowsOpened},
		{"flows broken", r.FlowsBroken},
		{"packets misdelivered", r.PacketsMisdelivered},
		{"new flows to a draining backend server", r.FlowsToDraining},
		{"plain connections opened", r.StreamsOpened},
		{"plain connections broken", r.StreamsBroken},
		{"requests answered", r.Answered},
		{"requests refused as not run", r.NotRun},
		{"requests with outcome unknown", r.OutcomeUnknown},
		{"requests failed", r.RequestsFailed},
		{"keys run more than once", r.KeysRunTwice},
		{"imbalance max/mean", fmt.Sprintf("%.3f", r.Imbalance)},
		{"seconds until the setting is in force", fmt.Sprintf("%.3f", r.InForceSeconds)},
		{"control bytes per host per second at rest", fmt.Sprintf("%.0f", r.ControlBytesPerHostS)},
	})
	if err != nil {
		return err
	}
	return printErr
}
