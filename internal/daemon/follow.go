package daemon

import (
	"context"
	"errors"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
)

// Times of calls between hosts.
const (
	callTimeout = 2 * time.Second
	pullWait    = time.Second            // a pull waits this long for news
	retryPause  = 200 * time.Millisecond // pause after a failed call
)

// stateService serves the replica to other hosts.
type stateService struct{ replica *replica.Replica }

// Pull answers once there is something after the revision, or when the wait
// is over.
func (s *stateService) Pull(args replica.PullArgs, out *replica.Batch) error {
	changed := s.replica.Changed()
	if s.replica.Revision() <= args.After {
		select {
		case <-changed:
		case <-time.After(min(args.Wait, callTimeout)):
		}
	}
	batch, err := s.replica.After(args.After)
	*out = batch
	return rpc.EncodeError(err)
}

// follow keeps the replica in step with the control hosts.
func (d *Daemon) follow(ctx context.Context) {
	log := d.logs.Part("follow")
	for i := 0; ctx.Err() == nil; i++ {
		peer := d.Config.Control[i%len(d.Config.Control)]
		for d.pull(ctx, peer.RPC) == nil {
		}
		if ctx.Err() != nil {
			return
		}
		log.Debugf("control host %s does not answer", peer.Name)
		d.pause(ctx, retryPause)
	}
}

func (d *Daemon) pull(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var batch replica.Batch
	args := replica.PullArgs{After: d.Replica.Revision(), Wait: pullWait}
	if err := d.client.Call(ctx, addr, "State.Pull", args, &batch); err != nil {
		return err
	}
	return d.Replica.Install(batch)
}

func (d *Daemon) pause(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(t):
	}
}

// eachControl calls fn for every control host and fails if none succeeds.
func (d *Daemon) eachControl(ctx context.Context, fn func(context.Context, string) error) error {
	var errs []error
	for _, peer := range d.Config.Control {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := fn(ctx, peer.RPC)
		cancel()
		errs = append(errs, err)
	}
	for _, err := range errs {
		if err == nil {
			return nil
		}
	}
	return errors.Join(errs...)
}

// Submit commits a change on the leading control host.
func (d *Daemon) Submit(ctx context.Context, c state.Change) (state.Result, error) {
	if d.commits != nil {
		return d.commits.Propose(ctx, state.Command{Change: &c})
	}
	var result state.Result
	var err error
	for _, peer := range d.Config.Control {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = d.client.Call(callCtx, peer.RPC, "Control.Submit", c, &result)
		cancel()
		if err == nil || fault.KindOf(err) != fault.Unavailable {
			return result, err
		}
	}
	return result, err
}

// Leader returns the RPC address of the leading control host.
func (d *Daemon) Leader() string {
	if d.commits != nil {
		addr, _ := d.commits.Leader()
		return addr
	}
	return d.Config.Control[0].RPC
}
