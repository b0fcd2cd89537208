package apiserver

import (
	"bytes"
	"context"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/control"
)

// Controller reads the replicated log and changes its members.
type Controller interface {
	// Freshness reports whether this host's state is known to be current, and how
	// long ago it last was. known is false if it never was.
	Freshness() (current bool, age time.Duration, known bool)
	// ControlMembers returns the members of the replicated log.
	ControlMembers(ctx context.Context) ([]control.MemberStatus, error)
	// ChangeControlMember adds, promotes or removes a member of the replicated log
	// and returns the revision of the change.
	ChangeControlMember(ctx context.Context, c control.MemberChange) (uint64, error)
	// Backup returns the committed state as a backup file.
	Backup(ctx context.Context) ([]byte, error)
}

// ListControlMembers returns the members of the replicated log.
func (s *Server) ListControlMembers(ctx context.Context) ([]api.ControlMember, error) {
	members, err := s.Control.ControlMembers(ctx)
	if err != nil {
		return nil, err
	}
	list := []api.ControlMember{}
	for _, m := range members {
		item := api.ControlMember{Name: m.Name, Address: m.Addr, Role: api.ControlMemberRoleLearner, Leader: m.Leader}
		if m.Voter {
			item.Role = api.ControlMemberRoleVoter
		}
		item.Matched.SetTo(int64(m.Matched))
		list = append(list, item)
	}
	return list, nil
}

// ChangeControlMember adds, promotes or removes a member.
func (s *Server) ChangeControlMember(ctx context.Context, req *api.ControlMemberChange) (*api.ChangeResult, error) {
	c := control.MemberChange{Action: control.Action(req.Action), Name: req.Name, Addr: req.Address.Value}
	revision, err := s.Control.ChangeControlMember(ctx, c)
	if err != nil {
		return nil, err
	}
	return &api.ChangeResult{ID: req.Name, Revision: int64(revision)}, nil
}

// GetSnapshot returns a backup of the committed state.
func (s *Server) GetSnapshot(ctx context.Context) (api.GetSnapshotOK, error) {
	data, err := s.Control.Backup(ctx)
	return api.GetSnapshotOK{Data: bytes.NewReader(data)}, err
}
