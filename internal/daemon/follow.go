package daemon

import (
	"context"
	"sync"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/follow"
	"greengagequay/internal/logs"
	"greengagequay/internal/replica"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
)

// Times of calls between hosts.
const (
	callTimeout    = 2 * time.Second
	minRetryDelay  = 100 * time.Millisecond // shortest delay when no source is available
	hedgeInterval  = 250 * time.Millisecond
	catchUpTimeout = 2 * time.Second // longest wait of a starting host for its sources
)

// stateService serves the replica to other hosts.
type stateService struct{ d *Daemon }

// Pull returns what follows the caller's revision. If there is nothing yet, it
// waits for up to args.Wait, at most follow.PullWait.
func (s *stateService) Pull(args replica.PullArgs, out *replica.Batch) error {
	r := s.d.Replica
	start := s.d.clock.Now()
	changed := r.Changed()
	if r.Revision() <= args.After {
		select {
		case <-changed:
		case <-s.d.clock.After(min(args.Wait, follow.PullWait)):
		}
	}
	batch, err := r.After(args.After)
	now := s.d.clock.Now()
	batch.Waited = now.Sub(start)
	batch.Age, batch.AgeKnown = s.d.stateAge(now)
	*out = batch
	return rpc.EncodeError(err)
}

// stateAge returns how long ago this host's state was last known to be current. It
// returns false if it never was, or on a control host, if the host is not a member
// of a log.
func (d *Daemon) stateAge(now time.Time) (time.Duration, bool) {
	if d.controlHost != nil {
		st := d.controlHost.Status()
		return st.Age, st.Member
	}
	return d.freshness.Age(now)
}

// follower keeps the replica up to date by pulling from the hosts above this one
// in the distribution tree.
type follower struct {
	d    *Daemon
	log  *logs.Component
	mu   sync.Mutex
	core *follow.Core
}

func (d *Daemon) startFollow(ctx context.Context) {
	f := &follower{d: d, log: d.logs.Component("follow"), core: follow.New()}
	f.catchUp(ctx)
	d.background.Go(func() { f.run(ctx) })
	d.background.Go(func() { f.hedge(ctx) })
}

// catchUp pulls from every source before the host takes traffic, so that a single
// stale source cannot bring a restarted host back to an old revision. A host that
// reaches no source starts anyway.
func (f *follower) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range f.refresh() {
		wg.Go(func() { f.pull(ctx, s, 0) })
	}
	wg.Wait()
}

// run pulls repeatedly from the best available source until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.refresh()
		f.mu.Lock()
		source, wait, ok := f.core.Next(f.d.clock.Now())
		f.mu.Unlock()
		if !ok || wait > 0 {
			f.d.sleep(ctx, max(wait, minRetryDelay))
			continue
		}
		f.pull(ctx, source, follow.PullWait)
	}
}

// hedge checks every hedgeInterval whether other hosts have a newer revision. If
// this host has lacked that revision for too long, hedge pulls from another source.
func (f *follower) hedge(ctx context.Context) {
	for ctx.Err() == nil {
		f.d.sleep(ctx, hedgeInterval)
		known := f.knownRevision()
		f.mu.Lock()
		source, ok := f.core.Hedge(f.d.clock.Now(), known, f.d.Replica.Revision())
		f.mu.Unlock()
		if ok {
			f.log.Debugf("revision %d is missing, also pulling from host %s", known, source.Name)
			f.pull(ctx, source, 0)
		}
	}
}

// knownRevision returns the largest revision that any known host has in force.
func (f *follower) knownRevision() uint64 {
	var known uint64
	for _, h := range f.d.Members.Hosts() {
		known = max(known, h.Revision)
	}
	return known
}

// refresh updates the sources from the current members and returns them.
func (f *follower) refresh() []follow.Source {
	var control []follow.Source
	for _, p := range f.d.Config.Control {
		control = append(control, follow.Source(p))
	}
	sources := follow.Sources(f.d.Config.Name, f.d.Members.Hosts(), control)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetSources(sources)
	return sources
}

// pull requests the state from the source once and installs it.
func (f *follower) pull(ctx context.Context, s follow.Source, wait time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, follow.PullTimeout)
	defer cancel()
	var batch replica.Batch
	sent := f.d.clock.Now()
	args := replica.PullArgs{After: f.d.Replica.Revision(), Wait: wait}
	err := f.d.client.Call(callCtx, s.RPC, "State.Pull", args, &batch)
	if err == nil {
		err = f.d.Replica.Install(batch)
	}
	f.recordPull(s, sent, batch, err)
}

// recordPull passes the outcome of a pull to the core.
func (f *follower) recordPull(s follow.Source, sent time.Time, batch replica.Batch, err error) {
	now := f.d.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.core.PullFailed(now, s.Name)
		f.log.Debugf("pull from host %s failed: %v", s.Name, err)
		return
	}
	if !batch.AgeKnown {
		f.core.MarkStale(now, s.Name)
		return
	}
	f.core.PullAnswered(now, s.Name, batch.Age)
	f.d.freshness.Confirm(sent.Add(batch.Waited), batch.Age)
}

// sleep waits for t, or until ctx ends.
func (d *Daemon) sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(t):
	}
}

// Submit commits a change. A host that is not a control host passes it to the control
// hosts in order until one handles it. A control host that does not lead forwards it
// to the leader.
func (d *Daemon) Submit(ctx context.Context, c state.Change) (state.Result, error) {
	if d.controlHost != nil {
		return d.controlHost.Propose(ctx, state.Command{Change: &c})
	}
	var result state.Result
	var err error
	for _, peer := range d.Config.Control {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = d.client.Call(callCtx, peer.RPC, "Control.Submit", c, &result)
		cancel()
		if err == nil || !mayRetryElsewhere(err) {
			return result, err
		}
	}
	return result, err
}

// mayRetryElsewhere reports whether a call that failed with err may be retried on
// another control host. A retried change of settings takes effect only once,
// because its id is checked.
func mayRetryElsewhere(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.OutcomeUnknown, fault.NotCurrent:
		return true
	}
	return false
}

// Leader returns the RPC address of the leading control host, or an empty string
// if none is known. On a host that is not a control host, it returns the address
// of the first control host of the configuration.
func (d *Daemon) Leader() string {
	if d.controlHost != nil {
		addr, _ := d.controlHost.Leader()
		return addr
	}
	return d.Config.Control[0].RPC
}
