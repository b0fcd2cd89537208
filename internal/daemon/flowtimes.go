package daemon

import (
	"sync/atomic"
	"time"

	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// flowTimes holds the flow timeouts of all services. The data path reads them
// without a lock.
type flowTimes struct {
	services atomic.Pointer[map[string]flowTimeouts]
}

// flowTimeouts are the timeouts of one service's flows.
type flowTimeouts struct {
	idle  time.Duration // time without packets after which a flow is forgotten
	stall time.Duration // time after which a flow is reset whose client repeats itself without progress
}

// unknownServiceTimeouts are the timeouts of a service that this host does not
// know yet.
var unknownServiceTimeouts = flowTimeouts{idle: 24 * time.Hour, stall: time.Hour}

func (t *flowTimes) timeouts(service string) flowTimeouts {
	if f, ok := (*t.services.Load())[service]; ok {
		return f
	}
	return unknownServiceTimeouts
}

func (t *flowTimes) idle(service string) time.Duration { return t.timeouts(service).idle }

func (t *flowTimes) stall(service string) time.Duration { return t.timeouts(service).stall }

// refresh updates the timeouts from the settings in force.
func (t *flowTimes) refresh(d *Daemon) {
	services := map[string]flowTimeouts{}
	d.Replica.Read(func(s *state.State) {
		for _, name := range s.Tree.Services() {
			path := settings.Path(name)
			services[name] = flowTimeouts{
				idle:  s.Tree.Duration(path, settings.FlowIdleTimeout),
				stall: s.Tree.Duration(path, settings.FlowStallTimeout),
			}
		}
	})
	t.services.Store(&services)
}
