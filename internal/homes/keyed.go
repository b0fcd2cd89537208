package homes

import (
	"context"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// homeMoveTimeout is how long a request waits while its shard has no serving home.
const homeMoveTimeout = 5 * time.Second

// maxFinishCalls is the maximum number of Finish calls for one attempt.
const maxFinishCalls = 5

// BeginArgs asks the home of a shard whether a request may run.
type BeginArgs struct {
	Unit    string
	Service string
	Begin   idempotency.Begin
}

// FinishArgs reports the answer of an attempt, or that the attempt did not run.
type FinishArgs struct {
	Unit    string
	Key     string
	Attempt string
	Abort   bool
	Answer  idempotency.Answer
}

// CopyArgs sends a change of one record to the backup.
type CopyArgs struct {
	Unit string
	Copy idempotency.Copy
}

// SyncArgs sends a whole shard to the backup.
type SyncArgs struct {
	Unit string
	Sync idempotency.Sync
}

// Begin decides whether a request may run. It permits the request only after the
// backup, if there is one, has stored the record too.
func (s *Service) Begin(args BeginArgs, out *idempotency.Decision) error {
	u := s.h.shardUnitByName(args.Unit)
	args.Begin.Service = s.h.creationRevision(args.Service)
	u.mu.Lock()
	*out = u.core.Begin(args.Begin, s.h.Clock.Now())
	backup := u.backup
	u.mu.Unlock()
	if out.Verdict != idempotency.Run || s.copyToBackup(u, backup, idempotency.Copy{Claim: s.mark(out.Epoch), Record: out.Record}) {
		return nil
	}
	u.mu.Lock()
	u.core.Abort(args.Begin.Key, args.Begin.Attempt)
	u.core.Resync(out.Epoch)
	u.mu.Unlock()
	*out = idempotency.Decision{Verdict: idempotency.NotHome}
	return nil
}

// creationRevision returns the revision at which a service was first created, or
// 0 if that is no longer known. A known revision never changes, so it is cached.
func (h *Homes) creationRevision(service string) fence.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.creationRevisions[service]; ok {
		return e
	}
	h.Replica.Read(func(s *state.State) {
		if first, ok := s.FirstSet(settings.Path(service), settings.ServiceZones); ok {
			h.creationRevisions[service] = fence.Epoch(first)
		}
	})
	return h.creationRevisions[service]
}

func (s *Service) mark(e fence.Epoch) fence.Mark { return fence.Mark{Epoch: e, Home: s.h.self} }

// copyToBackup sends a change of a record to the backup and reports whether the
// backup accepted it. Without a backup it returns true.
func (s *Service) copyToBackup(u *shardUnit, backup string, c idempotency.Copy) bool {
	if backup == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(s.h.stopped, callTimeout)
	defer cancel()
	var accepted bool
	err := s.h.call(ctx, backup, "Copy", CopyArgs{Unit: u.name, Copy: c}, &accepted)
	return err == nil && accepted
}

// Finish stores the answer of an attempt, or deletes the record of an attempt
// that did not run. Its reply is false if this host is not the serving home or has
// no matching record of the attempt.
func (s *Service) Finish(args FinishArgs, out *bool) error {
	u := s.h.shardUnitByName(args.Unit)
	u.mu.Lock()
	var r idempotency.Record
	if args.Abort {
		r, *out = u.core.Abort(args.Key, args.Attempt)
	} else {
		r, *out = u.core.Finish(args.Key, args.Attempt, args.Answer, s.h.Clock.Now())
	}
	epoch, backup := u.core.ClaimEpoch(), u.backup
	u.mu.Unlock()
	if *out {
		s.copyToBackup(u, backup, idempotency.Copy{Claim: s.mark(epoch), Record: r, Delete: args.Abort})
	}
	return nil
}

// Copy applies a change of a record on the backup. Its reply is false if the
// backup refuses it.
func (s *Service) Copy(args CopyArgs, out *bool) error {
	u := s.h.shardUnitByName(args.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	*out = u.core.Copy(args.Copy, s.h.Clock.Now())
	return nil
}

// Sync replaces the whole shard on the backup. Its reply is false if the backup
// refuses it.
func (s *Service) Sync(args SyncArgs, out *bool) error {
	u := s.h.shardUnitByName(args.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	*out = u.core.Sync(args.Sync, s.h.Clock.Now())
	return nil
}

// KeyedRequest is a request with a key that this host is permitted to run.
type KeyedRequest struct {
	h       *Homes
	unit    *shardUnit
	key     string
	attempt string
}

// Begin asks the shard's home whether a request of the service may run. made is when
// the caller made the key, or zero if the caller did not say. The KeyedRequest is
// nil unless the verdict is Run.
func (h *Homes) Begin(ctx context.Context, service, key string, made, deadline time.Time) (*KeyedRequest, idempotency.Decision) {
	key = service + "\x00" + key
	u := h.shardUnitByName(idempotency.ShardOf(key))
	o := &KeyedRequest{h: h, unit: u, key: key, attempt: h.nextAttempt()}
	d, maybeRecorded := o.ask(ctx, service, made, deadline)
	if d.Verdict != idempotency.Run {
		if maybeRecorded {
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
		return nil, idempotency.Decision{Verdict: idempotency.NotHome}
	}
	return o, d
}

// ask asks the home of the shard for a decision. It retries for homeMoveTimeout if
// the call fails or the host called is not the home. maybeRecorded is true if a call
// failed: a home may then hold a record of the attempt.
func (o *KeyedRequest) ask(ctx context.Context, service string, made, deadline time.Time) (d idempotency.Decision, maybeRecorded bool) {
	until := o.h.Clock.Now().Add(homeMoveTimeout)
	for {
		now := o.h.Clock.Now()
		home := o.h.view().shardPairs[o.unit.name].home
		args := BeginArgs{Unit: o.unit.name, Service: service, Begin: idempotency.Begin{Key: o.key, Attempt: o.attempt, Runner: o.h.self, Remaining: deadline.Sub(now), Made: made}}
		d = idempotency.Decision{}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := o.h.call(callCtx, home.Name, "Begin", args, &d)
		cancel()
		if err != nil {
			d, maybeRecorded = idempotency.Decision{}, true
		}
		if d.Verdict != idempotency.NotHome || now.After(until) {
			return d, maybeRecorded
		}
		select {
		case <-o.h.Clock.After(retryInterval):
		case <-ctx.Done():
			return d, maybeRecorded
		}
	}
}

// Abort reports to the home that the request certainly did not run.
func (o *KeyedRequest) Abort() { o.finish(FinishArgs{Abort: true}) }

// Finish reports the answer of the request to the home.
func (o *KeyedRequest) Finish(a idempotency.Answer) { o.finish(FinishArgs{Answer: a}) }

// EndUnknown ends the request without an answer. Its outcome stays unknown.
func (o *KeyedRequest) EndUnknown() { o.endSending() }

// endSending removes the request from those that this host reports as being sent.
func (o *KeyedRequest) endSending() {
	o.unit.mu.Lock()
	defer o.unit.mu.Unlock()
	o.unit.core.End(o.key, o.attempt)
}

// finish reports the end of the attempt to the home. Until finish returns, the
// core keeps the request among those being sent, so that a new home learns of it.
func (o *KeyedRequest) finish(args FinishArgs) {
	defer o.endSending()
	args.Unit, args.Key, args.Attempt = o.unit.name, o.key, o.attempt
	for range maxFinishCalls {
		home := o.h.view().shardPairs[o.unit.name].home
		ctx, cancel := context.WithTimeout(o.h.stopped, callTimeout)
		var accepted bool
		err := o.h.call(ctx, home.Name, "Finish", args, &accepted)
		cancel()
		if err == nil && accepted {
			return
		}
		select {
		case <-o.h.Clock.After(retryInterval):
		case <-o.h.stopped.Done():
			return
		}
	}
}
