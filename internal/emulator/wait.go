package emulator

import (
	"context"
	"fmt"
	"time"

	"greengagequay/internal/table"
)

// WaitRevision waits until the revision is in force on the given hosts.
func (f *Fleet) WaitRevision(ctx context.Context, revision uint64, hosts ...int) error {
	for _, i := range hosts {
		h := f.Host(i)
		for {
			changed := h.Replica.Changed()
			if h.Replica.Revision() >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return fmt.Errorf("revision %d is not in force on host %s: %w", revision, h.Config.Name, ctx.Err())
			}
		}
	}
	return nil
}

// WaitPlaced waits until the table of every running host holds all services and
// backend servers, and each of its buckets has a backend server.
func (f *Fleet) WaitPlaced(ctx context.Context) error {
	return f.WaitFor(ctx, func() bool {
		for _, i := range f.Running() {
			if !f.isPlaced(f.Host(i).Replica.Table()) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) isPlaced(t *table.Table) bool {
	if len(t.ByName) < len(f.Services) || len(t.Backends) < len(f.Backends) {
		return false
	}
	for _, svc := range t.ByName {
		for i := range svc.Buckets {
			if svc.Buckets[i].Len() == 0 {
				return false
			}
		}
	}
	return true
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitFor waits until the condition holds.
func (f *Fleet) WaitFor(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for condition: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}
