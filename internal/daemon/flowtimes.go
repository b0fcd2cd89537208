package daemon

import (
	"sync/atomic"
	"time"

	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// flowTimes holds the timeouts of flows, so that the data path reads them
// without a lock.
type flowTimes struct {
	services atomic.Pointer[map[string]flowTimeouts]
}

// flowTimeouts are the timeouts of one service's flows.
type flowTimeouts struct {
	idle  time.Duration
	stall time.Duration
}

// longest is used for a service that is not known yet.
var longest = flowTimeouts{idle: 24 * time.Hour, stall: time.Hour}

func (t *flowTimes) of(service string) flowTimeouts {
	if f, ok := (*t.services.Load())[service]; ok {
		return f
	}
	return longest
}

func (t *flowTimes) idle(service string) time.Duration { return t.of(service).idle }

func (t *flowTimes) stall(service string) time.Duration { return t.of(service).stall }

// refresh takes over the settings in force.
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
