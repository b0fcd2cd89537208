package daemon

import (
	"context"
	"time"

	"greengagequay/internal/control"
)

// currentWithin is the age up to which the state of a host that is no control
// host counts as current.
const currentWithin = 5 * time.Second

// Currency tells whether this host's state is known to be current, and how
// long ago it last was. The age is false if it never was.
func (d *Daemon) Currency() (current bool, age time.Duration, known bool) {
	if d.commits != nil {
		st := d.commits.Status()
		return st.Current, st.Age, st.Member
	}
	age, known = d.freshness.Age(d.clock.Now())
	return known && age < currentWithin, age, known
}

// ControlMembers returns the members of the replicated log.
func (d *Daemon) ControlMembers(ctx context.Context) ([]control.MemberStatus, error) {
	if d.commits != nil {
		return d.commits.Members(ctx), nil
	}
	var list []control.MemberStatus
	err := d.anyControl(ctx, "Log.AllMembers", struct{}{}, &list)
	return list, err
}

// ChangeControlMember changes a member of the replicated log and returns the
// revision of the change.
func (d *Daemon) ChangeControlMember(ctx context.Context, c control.MemberChange) (uint64, error) {
	if d.commits != nil {
		return d.commits.ChangeMember(ctx, c)
	}
	var revision uint64
	err := d.anyControl(ctx, "Log.ChangeAnyMember", c, &revision)
	return revision, err
}

// Backup returns the committed state as a backup file.
func (d *Daemon) Backup(ctx context.Context) ([]byte, error) {
	if d.commits != nil {
		return d.commits.Backup(ctx)
	}
	var data []byte
	err := d.anyControl(ctx, "Log.Backup", struct{}{}, &data)
	return data, err
}

// anyControl calls the first control host that can answer.
func (d *Daemon) anyControl(ctx context.Context, method string, args, reply any) error {
	var err error
	for _, peer := range d.Config.Control {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = d.client.Call(callCtx, peer.RPC, method, args, reply)
		cancel()
		if err == nil || !mayAskNext(err) {
			return err
		}
	}
	return err
}
