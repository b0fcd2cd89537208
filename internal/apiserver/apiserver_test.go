package apiserver_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/api"
	"greengagequay/internal/apiserver"
	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/settings"
)

// A host that has received no state, such as a control host that lost its disk,
// must not answer with defaults or empty lists, which would look like the settings
// in force.
func TestHostWithoutStateAnswersNoReads(t *testing.T) {
	ctx := context.Background()
	s := &apiserver.Server{Name: "control-1", Replica: replica.New(), Clock: clock.Real{}}
	reads := map[string]func() error{
		"settings": func() error {
			_, err := s.GetSettings(ctx, api.GetSettingsParams{Path: "/", Key: api.NewOptString(settings.RequestQueue)})
			return err
		},
		"tree":     func() error { _, err := s.GetTree(ctx); return err },
		"changes":  func() error { _, err := s.ListChanges(ctx, api.ListChangesParams{}); return err },
		"services": func() error { _, err := s.ListServices(ctx); return err },
		"backends": func() error { _, err := s.ListBackends(ctx); return err },
		"where": func() error {
			_, err := s.Where(ctx, api.WhereParams{Caller: "100.64.0.1:1", Route: "198.18.0.1:443"})
			if fault.KindOf(err) == fault.NotFound {
				return nil // the state has no service
			}
			return err
		},
		"dry run": func() error {
			_, err := s.SubmitChange(ctx, &api.ChangeRequest{ID: "x", DryRun: api.NewOptBool(true)})
			return err
		},
	}
	for name, read := range reads {
		t.Run("without state, "+name, func(t *testing.T) {
			qt.Assert(t, fault.KindOf(read()), qt.Equals, fault.NotCurrent)
		})
	}
	_, err := s.Replica.Apply(replica.Entry{Revision: 1})
	qt.Assert(t, err, qt.IsNil)
	for name, read := range reads {
		t.Run("with state, "+name, func(t *testing.T) {
			qt.Assert(t, read(), qt.IsNil)
		})
	}
}
