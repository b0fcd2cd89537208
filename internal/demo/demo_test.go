package demo

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Run returns an error if an invariant of the demonstration is violated.
func TestDemonstration(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	report, err := Run(ctx, Options{Flows: 100, Requests: 20, Seed: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(report.FlowsOpened, qt.Equals, 250) // 100 to each of two services, and 50 during the drain
	c.Assert(report.Answered > 0, qt.IsTrue)
}
