package daemon

import (
	"context"
	"time"

	"greengagequay/internal/control"
)

// maxCurrentAge is the age below which the state of a host that is not a control
// host counts as current.
const maxCurrentAge = 5 * time.Second

// Freshness reports whether this host's state is known to be current, and how
// long ago it last was. known is false if it never was, or on a control host, if
// the host is not a member of a log.
func (d *Daemon) Freshness() (current bool, age time.Duration, known bool) {
	if d.controlHost != nil {
		st := d.controlHost.Status()
		return st.Current, st.Age, st.Member
	}
	age, known = d.freshness.Age(d.clock.Now())
	return known && age < maxCurrentAge, age, known
}

// ControlMembers returns the members of the replicated log.
func (d *Daemon) ControlMembers(ctx context.Context) ([]control.MemberStatus, error) {
	if d.controlHost != nil {
		return d.controlHost.Members(ctx), nil
	}
	var list []control.MemberStatus
	err := d.callAnyControlHost(ctx, "Log.AllMembers", struct{}{}, &list)
	return list, err
}

// ChangeControlMember adds, promotes or removes a member of the replicated log and
// returns the revision of the change.
func (d *Daemon) ChangeControlMember(ctx context.Context, c control.MemberChange) (uint64, error) {
	if d.controlHost != nil {
		return d.controlHost.ChangeMember(ctx, c)
	}
	var revision uint64
	err := d.callAnyControlHost(ctx, "Log.ChangeAnyMember", c, &revision)
	return revision, err
}

// Backup returns the committed state as a backup file.
func (d *Daemon) Backup(ctx context.Context) ([]byte, error) {
	if d.controlHost != nil {
		return d.controlHost.Backup(ctx)
	}
	var data []byte
	err := d.callAnyControlHost(ctx, "Log.Backup", struct{}{}, &data)
	return data, err
}

// callAnyControlHost calls the control hosts in order until one succeeds or
// returns an error for which mayRetryElsewhere is false.
func (d *Daemon) callAnyControlHost(ctx context.Context, method string, args, reply any) error {
	var err error
	for _, peer := range d.Config.Control {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = d.client.Call(callCtx, peer.RPC, method, args, reply)
		cancel()
		if err == nil || !mayRetryElsewhere(err) {
			return err
		}
	}
	return err
}
