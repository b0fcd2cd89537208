package cli

import (
	"context"
	"strings"

	"greengagequay/internal/api"
)

// runBuckets explains the placement of a flow by its bucket.
func (c *whereCmd) runBuckets(e *env) error {
	w, err := callAPI(e, func(client *api.Client, ctx context.Context) (*api.Where, error) {
		return client.Where(ctx, api.WhereParams{Caller: c.Caller, Route: c.Route, Protocol: api.NewOptWhereProtocol(api.WhereProtocol(c.Protocol))})
	})
	if err != nil {
		return err
	}
	if e.Output != "json" {
		e.printField("decision", "%s", strings.TrimSpace(w.Verdict+" "+w.Backend.Or(w.Reason)))
		e.printField("host", "%s in zone %s, revision %d", w.Host, w.Zone, w.Revision)
		e.printField("bucket", "%d of %d of service %s, phase %s, home %s", w.Bucket, w.Buckets, w.Service, w.Phase, w.Home.Or("none"))
		var way []string
		for _, h := range w.Hops {
			way = append(way, strings.TrimSpace(h.Host+" "+h.Action+" "+h.To.Value))
		}
		e.printField("way", "%s", strings.Join(way, ", "))
	}
	var rows [][]any
	for i, x := range w.Candidates {
		rows = append(rows, []any{i + 1, x.ID, x.Zone, x.State, x.Reason})
	}
	return e.print(w, "#\tBACKEND\tZONE\tSTATE\tREASON", rows)
}
