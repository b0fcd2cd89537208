package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/fleet"
)

// evacuationsCmd talks to the metrics address of a control host, given by --server.
type evacuationsCmd struct {
	List  evacuationsListCmd  `cmd:"" help:"List the zones that had an order, and which are evacuated."`
	Start evacuationsStartCmd `cmd:"" help:"Take the backend servers of a zone out of service; open flows stay."`
	End   evacuationsEndCmd   `cmd:"" help:"Return the backend servers of a zone to service."`
}

type evacuationsListCmd struct{}

func (c *evacuationsListCmd) Run(e *env) error {
	var list fleet.EvacuationList
	if err := callEvacuations(e, http.MethodGet, "", &list); err != nil {
		return err
	}
	var rows [][]any
	for _, z := range list.Zones {
		rows = append(rows, []any{z.Zone, z.Evacuated, z.Since.Format(time.RFC3339), z.Revision, z.By, list.Current})
	}
	return e.print(list, "ZONE\tEVACUATED\tSINCE\tREVISION\tBY\tCURRENT", rows)
}

type evacuationsStartCmd struct {
	Zone string `arg:"" help:"Availability zone."`
}

func (c *evacuationsStartCmd) Run(e *env) error { return orderEvacuation(e, http.MethodPost, c.Zone) }

type evacuationsEndCmd struct {
	Zone string `arg:"" help:"Availability zone."`
}

func (c *evacuationsEndCmd) Run(e *env) error { return orderEvacuation(e, http.MethodDelete, c.Zone) }

func orderEvacuation(e *env, method, zone string) error {
	if err := callEvacuations(e, method, "/"+url.PathEscape(zone), nil); err != nil {
		return err
	}
	evacuated := method == http.MethodPost
	return e.print(map[string]any{"zone": zone, "evacuated": evacuated}, "ZONE\tEVACUATED", [][]any{{zone, evacuated}})
}

// callEvacuations calls the metrics address of a control host. The --timeout flag
// limits its duration. The answer is decoded into the value to which into points,
// unless that is nil.
func callEvacuations(e *env, method, path string, into any) error {
	ctx, cancel := context.WithTimeout(e.ctx, e.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Server+fleet.EvacuationsPath+path, nil)
	if err != nil {
		return fault.New(fault.Invalid, "give the metrics address of a control host with --server", "create call: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.New(fault.Unavailable, "give the metrics address of a control host with --server, or try another one", "call control host: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return fault.New(fault.Invalid, "give the metrics address of a control host whose contracts include evacuations", "%s knows no evacuations", e.Server)
	}
	if resp.StatusCode != http.StatusOK {
		var body fleet.ErrorBody
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
			return fault.New(fault.Unavailable, "try another control host", "the control host answered with status %d", resp.StatusCode)
		}
		return fault.New(body.Kind, body.Remedy, "%s", body.Message)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fault.New(fault.Unavailable, "run the command again", "read evacuations: %w", err)
	}
	return nil
}
