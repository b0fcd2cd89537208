// Package apiserver implements the HTTP API that api/openapi.yaml describes.
package apiserver

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// Submitter passes changes and announcements to the parts that handle them.
type Submitter interface {
	// Submit commits a change, here or on the leading control host.
	Submit(ctx context.Context, c state.Change) (state.Result, error)
	// Announce handles the announcement of a backend server and returns the
	// granted lease.
	Announce(ctx context.Context, b model.Backend) (time.Duration, error)
	// Leader returns the RPC address of the leading control host, or an empty
	// string if none is known. On a host that is not a control host, it is the
	// address of the first control host of the configuration.
	Leader() string
}

// Server implements the API.
type Server struct {
	api.UnimplementedHandler
	Name    string
	Zone    string
	Replica *replica.Replica
	Members member.View
	Submit  Submitter
	Control Controller
	Clock   clock.Clock
}

// NewError converts an error to the API response.
func (s *Server) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	e := fault.From(err)
	answer := api.Error{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		for _, c := range conflict.changed {
			answer.Changed = append(answer.Changed, changeOf(c))
		}
	}
	return &api.ErrorStatusCode{StatusCode: request.StatusOf(e.Kind), Response: answer}
}

// conflictError is the error of a refused change, with the changes accepted since
// the revision that it was based on.
type conflictError struct {
	cause   *fault.Error
	changed []state.Change
}

// Error returns the text of the typed error.
func (e *conflictError) Error() string { return e.cause.Error() }

// Unwrap returns the typed error.
func (e *conflictError) Unwrap() error { return e.cause }

// requireState fails on a host that has received no state yet. A response with
// defaults or empty lists would look like the settings in force.
func (s *Server) requireState() error {
	if s.Replica.Revision() > 0 {
		return nil
	}
	return fault.New(fault.NotCurrent, "ask another host; if this is a control host that lost its disk, run 'quayctl control add'",
		"host %s has received no state yet", s.Name)
}

// GetSettings returns the effective settings at a path of the settings tree.
func (s *Server) GetSettings(_ context.Context, p api.GetSettingsParams) (*api.SettingList, error) {
	if err := s.requireState(); err != nil {
		return nil, err
	}
	path, err := settings.CleanPath(p.Path)
	if err != nil {
		return nil, err
	}
	list := &api.SettingList{Settings: []api.Setting{}}
	s.Replica.Read(func(st *state.State) {
		list.Revision = int64(st.SettingsRevision)
		for _, key := range settings.Keys() {
			if want, ok := p.Key.Get(); ok && want != key.Name {
				continue
			}
			v, _ := st.Tree.Effective(path, key.Name)
			list.Settings = append(list.Settings, settingOf(path, v))
		}
	})
	if want, ok := p.Key.Get(); ok && len(list.Settings) == 0 {
		_, err := settings.Lookup(want)
		return nil, err
	}
	return list, nil
}

func settingOf(path string, v settings.Value) api.Setting {
	out := api.Setting{Path: path, Key: v.Key.Name, Value: v.Raw, Origin: v.Origin}
	out.Unit.SetTo(v.Key.Unit)
	out.Help.SetTo(v.Key.Help)
	for _, o := range v.Overrides {
		out.Overrides = append(out.Overrides, api.Override{Path: o.Path, Value: o.Raw})
	}
	return out
}

// GetTree returns all values that are set.
func (s *Server) GetTree(context.Context) (*api.SettingList, error) {
	if err := s.requireState(); err != nil {
		return nil, err
	}
	list := &api.SettingList{Settings: []api.Setting{}}
	s.Replica.Read(func(st *state.State) {
		list.Revision = int64(st.SettingsRevision)
		st.Tree.Walk(func(path, key, raw string) {
			list.Settings = append(list.Settings, api.Setting{Path: path, Key: key, Value: raw, Origin: path})
		})
	})
	return list, nil
}

func (s *Server) SubmitChange(ctx context.Context, req *api.ChangeRequest) (*api.ChangeResult, error) {
	change := state.Change{ID: req.ID, Author: req.Author.Value, Message: req.Message.Value, Time: s.Clock.Now()}
	if base, ok := req.Base.Get(); ok {
		change.Base, change.HasBase = uint64(base), true
	}
	for _, op := range req.Ops {
		change.Ops = append(change.Ops, settings.Op{Action: settings.Action(op.Action), Path: op.Path, Key: op.Key, Value: op.Value.Value})
	}
	result, err := s.submit(ctx, change, req.DryRun.Value)
	if err != nil {
		return nil, err
	}
	out := &api.ChangeResult{ID: req.ID, Revision: int64(result.Revision)}
	out.Repeated.SetTo(result.Repeated)
	out.DryRun.SetTo(req.DryRun.Value)
	return out, nil
}

func (s *Server) submit(ctx context.Context, change state.Change, dryRun bool) (state.Result, error) {
	var result state.Result
	var err error
	if dryRun {
		if err := s.requireState(); err != nil {
			return result, err
		}
		s.Replica.Read(func(st *state.State) { result = st.Check(change) })
	} else {
		result, err = s.Submit.Submit(ctx, change)
	}
	if err == nil && result.Err != nil {
		err = &conflictError{cause: result.Err, changed: result.Changed}
	}
	return result, err
}

// ListChanges returns accepted changes, newest first.
func (s *Server) ListChanges(_ context.Context, p api.ListChangesParams) (*api.ChangeList, error) {
	if err := s.requireState(); err != nil {
		return nil, err
	}
	list := &api.ChangeList{Changes: []api.Change{}}
	s.Replica.Read(func(st *state.State) {
		changes := st.ChangesAfter(uint64(p.After.Value))
		for i := len(changes) - 1; i >= 0 && len(list.Changes) < p.Limit.Value; i-- {
			list.Changes = append(list.Changes, changeOf(changes[i]))
		}
	})
	return list, nil
}

func changeOf(c state.Change) api.Change {
	out := api.Change{ID: c.ID, Revision: int64(c.Revision), Author: c.Author, Message: c.Message, Time: c.Time}
	for _, op := range c.Ops {
		item := api.Op{Action: api.OpAction(op.Action), Path: op.Path, Key: op.Key}
		item.Value.SetTo(op.Value)
		out.Ops = append(out.Ops, item)
	}
	return out
}

// Announce handles the announcement of a backend server.
func (s *Server) Announce(ctx context.Context, a *api.Announcement) (*api.AnnouncementResult, error) {
	b, err := backendOf(a)
	if err != nil {
		return nil, err
	}
	lease, err := s.Submit.Announce(ctx, b)
	if err != nil {
		return nil, err
	}
	return &api.AnnouncementResult{LeaseSeconds: lease.Seconds()}, nil
}

func backendOf(a *api.Announcement) (model.Backend, error) {
	b := model.Backend{
		ID: a.ID, Service: a.Service, Zone: a.Zone, State: model.BackendState(a.State),
		Incarnation: uint64(a.Incarnation), Slots: a.Slots.Value, Weight: a.Weight.Value, Load: a.Load.Value,
		Lease: time.Duration(a.LeaseSeconds.Value * float64(time.Second)),
	}
	for _, f := range []struct {
		name string
		text string
		into *netip.AddrPort
	}{
		{"packetAddress", a.PacketAddress.Value, &b.Packet},
		{"requestAddress", a.RequestAddress.Value, &b.Request},
		{"streamAddress", a.StreamAddress.Value, &b.Stream},
	} {
		if f.text == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(f.text)
		if err != nil {
			return b, fault.New(fault.Invalid, "use IP:port", "announcement field %s has value %q", f.name, f.text)
		}
		*f.into = addr
	}
	return b, nil
}
