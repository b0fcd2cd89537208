package cli

import (
	"strings"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
	"greengagequay/internal/settings"
)

type servicesCmd struct{}

func (c *servicesCmd) Run(e *env) error {
	list, err := callAPI(e, (*api.Client).ListServices)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, s := range list {
		rows = append(rows, []any{s.Name, strings.Join(s.Addresses, ","), strings.Join(s.Zones, ","), s.Backends, s.Buckets, s.Moving})
	}
	return e.print(list, "SERVICE\tADDRESSES\tZONES\tBACKENDS\tBUCKETS\tMOVING", rows)
}

type zonesCmd struct{}

func (c *zonesCmd) Run(e *env) error {
	list, err := callAPI(e, (*api.Client).ListZones)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, z := range list {
		rows = append(rows, []any{z.Name, z.Hosts, z.Backends})
	}
	return e.print(list, "ZONE\tHOSTS\tBACKENDS", rows)
}

type backendsCmd struct {
	Service string `help:"Only this service."`
}

func (c *backendsCmd) Run(e *env) error {
	list, err := c.fetch(e)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, b := range list {
		rows = append(rows, []any{b.ID, b.Service, b.Zone, b.State, b.Slots, b.Address, b.RequestAddress.Value})
	}
	return e.print(list, "BACKEND\tSERVICE\tZONE\tSTATE\tSLOTS\tPACKETS\tREQUESTS", rows)
}

func (c *backendsCmd) fetch(e *env) ([]api.Backend, error) {
	list, err := callAPI(e, (*api.Client).ListBackends)
	if err != nil {
		return nil, err
	}
	matching := []api.Backend{}
	for _, b := range list {
		if c.Service == "" || b.Service == c.Service {
			matching = append(matching, b)
		}
	}
	return matching, nil
}

type hostsCmd struct{}

func (c *hostsCmd) Run(e *env) error {
	list, err := callAPI(e, (*api.Client).ListHosts)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, h := range list {
		rows = append(rows, []any{h.Name, h.Zone, strings.Join(h.Roles, ","), h.State, h.Revision, h.RPC.Value})
	}
	return e.print(list, "HOST\tZONE\tROLES\tSTATE\tREVISION\tRPC", rows)
}

type statusCmd struct{}

func (c *statusCmd) Run(e *env) error {
	st, err := callAPI(e, (*api.Client).GetStatus)
	if err != nil {
		return err
	}
	var lagging []string
	for _, l := range st.Lagging {
		lagging = append(lagging, l.Name)
	}
	return e.print(st, "HOST\tZONE\tREVISION\tSETTINGS\tCURRENT\tAGE\tLEADER\tLAGGING",
		[][]any{{st.Host, st.Zone, st.Revision, st.SettingsRevision, st.Current, ageOf(st), st.Leader, strings.Join(lagging, ",")}})
}

type drainCmd struct {
	changeFlags
	Backend string `arg:"" help:"Id of the backend server."`
	Undo    bool   `help:"Send new work to a backend server again."`
}

func (c *drainCmd) Run(e *env) error {
	list, err := (&backendsCmd{}).fetch(e)
	if err != nil {
		return err
	}
	for _, b := range list {
		if b.ID != c.Backend {
			continue
		}
		path := settings.Path(b.Service, b.Zone, b.ID)
		if c.Undo {
			return c.submit(e, []api.Op{newOp(api.OpActionUnset, path, settings.BackendDrain, "")})
		}
		return c.submit(e, []api.Op{newOp(api.OpActionSet, path, settings.BackendDrain, "true")})
	}
	return fault.New(fault.NotFound, "see 'quayctl backends'", "backend server %q does not exist", c.Backend)
}

// ageOf returns how long ago the host's state was last known to be current.
func ageOf(st *api.Status) string {
	seconds, known := st.AgeSeconds.Get()
	if !known {
		return "unknown"
	}
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond).String()
}
