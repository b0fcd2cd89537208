package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"greengagequay/internal/fault"
	"greengagequay/internal/fleet"
	"greengagequay/internal/steering"
)

// maxCandidates limits the backend servers that whereCmd lists without --all.
const maxCandidates = 10

// whereCmd talks to the metrics address of an entry host, given by --server, or with
// --buckets to the API address of a host of quayd run.
type whereCmd struct {
	Caller   string `help:"IP:port of the caller; needed with --route."`
	Route    string `help:"IP:port of the route to which the flow opens." xor:"to" required:""`
	Service  string `help:"Service of the flow, in place of a route." xor:"to" required:""`
	Priority string `help:"Priority of the flow with --service; 0 is the highest." placeholder:"N"`
	All      bool   `help:"List all backend servers of the service, not only the first 10."`
	Buckets  bool   `help:"Ask a host of 'quayd run'; --server is then its API address."`
	Protocol string `help:"Protocol of the flow, with --buckets." enum:"tcp,udp" default:"tcp"`
}

func (c *whereCmd) Run(e *env) error {
	if c.Buckets {
		if c.Service != "" || c.Priority != "" {
			return fault.New(fault.Invalid, "give --caller and --route", "the bucket of a flow depends on its addresses")
		}
		return c.runBuckets(e)
	}
	query := url.Values{}
	for name, value := range map[string]string{"caller": c.Caller, "route": c.Route, "service": c.Service, "priority": c.Priority} {
		if value != "" {
			query.Set(name, value)
		}
	}
	a, err := fetchWhere(e, query)
	if err != nil {
		return err
	}
	if n := len(a.Candidates); n > maxCandidates && !c.All {
		a.Candidates, a.Omitted = a.Candidates[:maxCandidates], n-maxCandidates
	}
	if e.Output != "json" {
		printWhere(e, a)
	}
	var rows [][]any
	for i, x := range a.Candidates {
		turn := "-"
		if x.Turn != nil {
			turn = fmt.Sprintf("%.2f", *x.Turn)
		}
		rows = append(rows, []any{i + 1, x.ID, x.Zone, x.Status, x.Rank, fmt.Sprintf("%d/%d", x.Share, steering.FullShare), turn, x.Reason})
	}
	if err := e.print(a, "#\tBACKEND\tZONE\tSTATUS\tRANK\tSHARE\tTURN\tREASON", rows); err != nil {
		return err
	}
	if a.Omitted > 0 && e.Output != "json" {
		fmt.Fprintf(e.out, "%d more; list them with --all\n", a.Omitted)
	}
	return nil
}

// printWhere writes all but the candidates.
func printWhere(e *env, a *fleet.WhereAnswer) {
	e.printField("decision", "%s", strings.TrimSpace(a.Decision.Verdict+" "+a.Decision.Reason+" "+a.Decision.Backend))
	e.printField("host", "%s in zone %s, ready %t, document version %d, view %d ms old", a.Host, a.Zone, a.Ready, a.Version, a.ViewAgeMs)
	if r := a.Route; r != nil {
		var services []string
		for _, t := range r.Services {
			mark := ""
			if t.Selected {
				mark = " (selected by the flow's hash)"
			}
			services = append(services, fmt.Sprintf("%s weight %d%s", t.Service, t.Weight, mark))
		}
		e.printField("route", "%s %s: %s", r.Name, r.Address, strings.Join(services, ", "))
	}
	e.printField("service", "%s, priority %d", a.Service, a.Priority)
	var shares, refusals []string
	for _, s := range a.ZoneShares {
		shares = append(shares, fmt.Sprintf("%s %.2f", s.Zone, s.Share))
	}
	e.printField("zone shares", "%s; this flow: %s", strings.Join(shares, ", "), a.PlanZone)
	e.printField("evacuated", "%s (revision %d)", listOrNone(a.Evacuations.Zones), a.Evacuations.Revision)
	for _, r := range a.Refusals {
		refusals = append(refusals, fmt.Sprintf("%d%% of priority %d", r.Percent, r.Priority))
	}
	e.printField("refused", "%s", listOrNone(refusals))
}

// printField writes one named value.
func (e *env) printField(name, format string, args ...any) {
	fmt.Fprintf(e.out, "%-12s %s\n", name, fmt.Sprintf(format, args...))
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// fetchWhere calls the metrics address of an entry host. The --timeout flag limits its
// duration.
func fetchWhere(e *env, query url.Values) (*fleet.WhereAnswer, error) {
	const remedy = "give the metrics address of an entry host with --server"
	ctx, cancel := context.WithTimeout(e.ctx, e.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Server+fleet.WherePath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fault.New(fault.Invalid, remedy, "create call: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, remedy, "call entry host: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var body fleet.ErrorBody
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Message == "" {
			return nil, fault.New(fault.Invalid, remedy, "%s explains no placements: status %d", e.Server, resp.StatusCode)
		}
		return nil, fault.New(body.Kind, body.Remedy, "%s", body.Message)
	}
	var a fleet.WhereAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, fault.New(fault.Unavailable, remedy, "read explanation: %w", err)
	}
	return &a, nil
}
