package homes

import (
	"context"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/oncekey"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// moveWait is how long a request waits for a home that moves.
const moveWait = 5 * time.Second

// finishTries is how often an answer is brought to the record's home.
const finishTries = 5

// BeginArgs ask a shard's home whether a request may run.
type BeginArgs struct {
	Unit    string
	Service string
	Begin   oncekey.Begin
}

// FinishArgs bring the answer of an attempt, or say that it did not run.
type FinishArgs struct {
	Unit    string
	Key     string
	Attempt string
	Abort   bool
	Answer  oncekey.Answer
}

// CopyArgs bring a change of a record to the backup.
type CopyArgs struct {
	Unit string
	Copy oncekey.Copy
}

// SyncArgs bring a whole shard to the backup.
type SyncArgs struct {
	Unit string
	Sync oncekey.Sync
}

// Begin decides whether a request may run. It says so only once the backup has
// the record too.
func (s *Service) Begin(args BeginArgs, out *oncekey.Decision) error {
	u := s.h.shardOf(args.Unit)
	args.Begin.Service = s.h.created(args.Service)
	u.mu.Lock()
	*out = u.core.Begin(args.Begin, s.h.Clock.Now())
	backup := u.backup
	u.mu.Unlock()
	if out.Verdict != oncekey.Run || s.copy(u, backup, oncekey.Copy{Claim: s.mark(out.Epoch), Record: out.Record}) {
		return nil
	}
	u.mu.Lock()
	u.core.Abort(args.Begin.Key, args.Begin.Attempt)
	u.core.Resync(out.Epoch)
	u.mu.Unlock()
	*out = oncekey.Decision{Verdict: oncekey.NotHome}
	return nil
}

// created returns the revision at which a service was first created, 0 if that
// is no longer known. It never changes, and so is looked up once.
func (h *Homes) created(service string) fence.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.births[service]; ok {
		return e
	}
	h.Replica.Read(func(s *state.State) {
		if first, ok := s.FirstSet(settings.Path(service), settings.ServiceZones); ok {
			h.births[service] = fence.Epoch(first)
		}
	})
	return h.births[service]
}

func (s *Service) mark(e fence.Epoch) fence.Mark { return fence.Mark{Epoch: e, Home: s.h.self} }

// copy brings a record to the backup and reports whether it has it.
func (s *Service) copy(u *shardUnit, backup string, c oncekey.Copy) bool {
	if backup == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(s.h.stopped, callTimeout)
	defer cancel()
	var taken bool
	err := s.h.call(ctx, backup, "Copy", CopyArgs{Unit: u.name, Copy: c}, &taken)
	return err == nil && taken
}

// Finish stores an answer, or forgets an attempt that did not run. It answers
// false if this host is not the home.
func (s *Service) Finish(args FinishArgs, out *bool) error {
	u := s.h.shardOf(args.Unit)
	u.mu.Lock()
	var r oncekey.Record
	if args.Abort {
		r, *out = u.core.Abort(args.Key, args.Attempt)
	} else {
		r, *out = u.core.Finish(args.Key, args.Attempt, args.Answer, s.h.Clock.Now())
	}
	epoch, backup := u.core.ClaimEpoch(), u.backup
	u.mu.Unlock()
	if *out {
		s.copy(u, backup, oncekey.Copy{Claim: s.mark(epoch), Record: r, Delete: args.Abort})
	}
	return nil
}

// Copy takes a change of a record as the backup.
func (s *Service) Copy(args CopyArgs, out *bool) error {
	u := s.h.shardOf(args.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	*out = u.core.Copy(args.Copy, s.h.Clock.Now())
	return nil
}

// Sync takes a whole shard as the backup.
func (s *Service) Sync(args SyncArgs, out *bool) error {
	u := s.h.shardOf(args.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	*out = u.core.Sync(args.Sync, s.h.Clock.Now())
	return nil
}

// Once is a request with a key that this host has permission to run.
type Once struct {
	h       *Homes
	unit    *shardUnit
	key     string
	attempt string
}

// Begin asks whether a request of the service may run under its key. made is when the caller
// made the key, zero if it did not say. Once is set for the verdict Run alone.
func (h *Homes) Begin(ctx context.Context, service, key string, made, deadline time.Time) (*Once, oncekey.Decision) {
	key = service + "\x00" + key
	u := h.shardOf(oncekey.ShardOf(key))
	o := &Once{h: h, unit: u, key: key, attempt: h.nextAttempt()}
	d, asked := o.ask(ctx, service, made, deadline)
	if d.Verdict != oncekey.Run {
		if asked {
			h.background(func(context.Context) { o.finish(FinishArgs{Abort: true}) })
		}
		return nil, d
	}
	now := h.Clock.Now()
	d.Record.Left = deadline.Sub(now)
	u.mu.Lock()
	started := u.core.Start(d.Record, d.Epoch, now)
	u.mu.Unlock()
	if !started {
		h.background(func(context.Context) { o.finish(FinishArgs{Abort: true}) })
		return nil, oncekey.Decision{Verdict: oncekey.NotHome}
	}
	return o, d
}

// ask asks the shard's home until there is one that decides, or for as long as
// a home takes to move. asked reports that a call failed after which a home
// may hold a record of the attempt.
func (o *Once) ask(ctx context.Context, service string, made, deadline time.Time) (d oncekey.Decision, asked bool) {
	until := o.h.Clock.Now().Add(moveWait)
	for {
		now := o.h.Clock.Now()
		home := o.h.view().pairs[o.unit.name].home
		args := BeginArgs{Unit: o.unit.name, Service: service, Begin: oncekey.Begin{Key: o.key, Attempt: o.attempt, Runner: o.h.self, Remaining: deadline.Sub(now), Made: made}}
		d = oncekey.Decision{}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := o.h.call(callCtx, home.Name, "Begin", args, &d)
		cancel()
		if err != nil {
			d, asked = oncekey.Decision{}, true
		}
		if d.Verdict != oncekey.NotHome || now.After(until) {
			return d, asked
		}
		select {
		case <-o.h.Clock.After(retryPause):
		case <-ctx.Done():
			return d, asked
		}
	}
}

// Abort notes that the request certainly did not run.
func (o *Once) Abort() { o.finish(FinishArgs{Abort: true}) }

// Finish stores the request's answer.
func (o *Once) Finish(a oncekey.Answer) { o.finish(FinishArgs{Answer: a}) }

// Forget ends the request without an answer: its outcome is unknown.
func (o *Once) Forget() { o.end() }

func (o *Once) end() {
	o.unit.mu.Lock()
	defer o.unit.mu.Unlock()
	o.unit.core.End(o.key, o.attempt)
}

// finish tells the home. The request counts as being sent until the home has
// heard, so that a takeover does not miss it.
func (o *Once) finish(args FinishArgs) {
	defer o.end()
	args.Unit, args.Key, args.Attempt = o.unit.name, o.key, o.attempt
	for range finishTries {
		home := o.h.view().pairs[o.unit.name].home
		ctx, cancel := context.WithTimeout(o.h.stopped, callTimeout)
		var taken bool
		err := o.h.call(ctx, home.Name, "Finish", args, &taken)
		cancel()
		if err == nil && taken {
			return
		}
		select {
		case <-o.h.Clock.After(retryPause):
		case <-o.h.stopped.Done():
			return
		}
	}
}
