package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
	"greengagequay/internal/model"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
)

// Options of a demonstration.
type Options struct {
	Flows    int
	Requests int
	Seed     uint64
	Progress io.Writer // gets a line at each step, or nil
}

// Report is what the callers saw.
type Report struct {
	FlowsOpened          int     `json:"flowsOpened"`
	FlowsBroken          int     `json:"flowsBroken"`
	PacketsMisdelivered  int     `json:"packetsMisdelivered"`
	Answered             int     `json:"requestsAnswered"`
	NotRun               int     `json:"requestsNotRun"`
	OutcomeUnknown       int     `json:"requestsOutcomeUnknown"`
	RequestsFailed       int     `json:"requestsFailed"`
	Imbalance            float64 `json:"imbalanceMaxOverMean"`
	InForceSeconds       float64 `json:"secondsUntilInForce"`
	ControlBytesPerHostS float64 `json:"controlBytesPerHostPerSecond"` // at rest
	FlowsToDraining      int     `json:"newFlowsToDraining"`
	StreamsOpened        int     `json:"connectionsOpened"`
	StreamsBroken        int     `json:"connectionsBroken"`
	KeysRunTwice         int     `json:"keysRunTwice"`
}

// Err returns an error that names the first invariant that did not hold.
func (r Report) Err() error {
	switch {
	case r.FlowsOpened == 0:
		return fault.New(fault.Internal, "see the log", "no flow was opened")
	case r.FlowsBroken > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d flows broke in planned changes", r.FlowsBroken)
	case r.PacketsMisdelivered > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d packets reached another service", r.PacketsMisdelivered)
	case r.FlowsToDraining > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d new flows reached a draining backend server", r.FlowsToDraining)
	case r.StreamsBroken > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d plain connections broke", r.StreamsBroken)
	case r.KeysRunTwice > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d requests that may run once ran again", r.KeysRunTwice)
	case r.RequestsFailed > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d requests failed", r.RequestsFailed)
	}
	return nil
}

// run is one demonstration in progress.
type run struct {
	Options
	fleet   *fleet
	callers *callers
	streams []*stream
	report  Report
}

// Run runs the demonstration.
func Run(ctx context.Context, o Options) (Report, error) {
	c, err := newCallers(o.Seed)
	if err != nil {
		return Report{}, err
	}
	defer c.conn.Close()
	f, err := startFleet(ctx, c.address())
	if err != nil {
		return Report{}, err
	}
	defer f.close(context.WithoutCancel(ctx))
	r := &run{Options: o, fleet: f, callers: c}
	c.entry = func(i int) netip.AddrPort {
		addr, _ := netip.ParseAddrPort(f.host(i).Config.Packets)
		return addr
	}
	go c.receive()
	if err := r.steps(ctx); err != nil {
		return r.report, err
	}
	r.measure()
	return r.report, r.report.Err()
}

func (r *run) steps(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"create services", r.createServices},
		{"open flows", r.openFlows},
		{"open plain connections", r.openStreams},
		{"send requests", r.sendRequests},
		{"drain a backend server", r.drain},
		{"open more flows", r.openMoreFlows},
		{"restart an entry host", func(ctx context.Context) error { return r.fleet.restart(ctx, 3) }},
		{"use all flows", r.useFlows},
		{"use all plain connections", r.useStreams},
		{"repeat requests that may run once", r.repeatKeys},
		{"send requests", r.sendRequests},
		{"change a setting", r.changeSetting},
		{"rest", r.rest},
	}
	for i, step := range steps {
		if r.Progress != nil {
			fmt.Fprintf(r.Progress, "[%d/%d] %s\n", i+1, len(steps), step.name)
		}
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

func (r *run) createServices(ctx context.Context) error {
	var ops []api.Op
	for _, s := range serviceSpecs {
		ops = append(ops,
			setOp(settings.Path(s.name), settings.ServiceZones, `["rvk-a","rvk-b"]`),
			setOp(settings.Path(s.name), settings.ServiceAddresses, fmt.Sprintf(`["%s/tcp"]`, s.address)))
	}
	if _, err := r.change(ctx, "demo-services", ops); err != nil {
		return err
	}
	return r.waitFor(ctx, r.placed)
}

func setOp(path, key, value string) api.Op {
	return api.Op{Action: api.OpActionSet, Path: path, Key: key, Value: api.NewOptString(value)}
}

func (r *run) change(ctx context.Context, id string, ops []api.Op) (*api.ChangeResult, error) {
	client, err := api.NewClient("http://" + r.fleet.host(1).Config.API)
	if err != nil {
		return nil, err
	}
	return client.SubmitChange(ctx, &api.ChangeRequest{ID: id, Ops: ops, Author: api.NewOptString("demo")})
}

// placed reports whether every host has all backend servers in its table.
func (r *run) placed() bool {
	for i := range hostSpecs {
		t := r.fleet.host(i).Replica.Table()
		if len(t.ByName) < len(serviceSpecs) || len(t.Backends) < len(r.fleet.backends) {
			return false
		}
		for _, svc := range t.ByName {
			for _, b := range svc.Buckets {
				if b.Opening() == 0 {
					return false
				}
			}
		}
	}
	return true
}

// waitFor waits until the condition holds, and keeps the flows going.
func (r *run) waitFor(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
		r.callers.resend(time.Now())
	}
	return nil
}

func (r *run) openFlows(ctx context.Context) error {
	for service := range serviceSpecs {
		r.callers.open(service, r.Flows)
	}
	return r.waitFor(ctx, r.callers.quiet)
}

func (r *run) useFlows(ctx context.Context) error {
	r.callers.speak()
	return r.waitFor(ctx, r.callers.quiet)
}

func (r *run) drain(ctx context.Context) error {
	drained := r.fleet.backends[0]
	if err := drained.SetState(ctx, model.Draining); err != nil {
		return err
	}
	return r.waitFor(ctx, func() bool {
		for i := range hostSpecs {
			for _, b := range r.fleet.host(i).Replica.Table().Backends {
				if b.ID == drained.ID && b.State != model.Draining {
					return false
				}
			}
		}
		return true
	})
}

func (r *run) changeSetting(ctx context.Context) error {
	start := time.Now()
	res, err := r.change(ctx, "demo-timeout", []api.Op{setOp("/", settings.RequestTimeout, `"20s"`)})
	if err != nil {
		return err
	}
	if err := r.fleet.waitRevision(ctx, uint64(res.Revision), r.fleet.allHosts()...); err != nil {
		return err
	}
	r.report.InForceSeconds = time.Since(start).Seconds()
	return nil
}

func (r *run) sendRequests(ctx context.Context) error {
	for i := range r.Requests {
		svc := serviceSpecs[i%len(serviceSpecs)]
		host := r.fleet.host(i % len(hostSpecs))
		if err := r.sendRequest(ctx, sent{service: svc.name, addr: host.Config.Requests, size: i}); err != nil {
			return err
		}
	}
	return nil
}

// sent describes a request that is sent.
type sent struct {
	service string
	addr    string // of the entry host
	size    int    // of the body, in bytes
	key     string // empty for a request that may be repeated
}

func (r *run) sendRequest(ctx context.Context, s sent) error {
	body := strings.NewReader(strings.Repeat("o", s.size))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr+"/order", body)
	if err != nil {
		return err
	}
	req.Header.Set(request.HeaderService, s.service)
	req.Header.Set(request.HeaderCustomer, "bakery")
	if s.key != "" {
		req.Header.Set(request.HeaderKey, s.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.report.RequestsFailed++
		return nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	want := fmt.Sprintf("%s /order %d\n", s.service, s.size)
	switch outcome := resp.Header.Get(request.HeaderOutcome); {
	case err != nil, outcome == request.Answered && string(answer) != want:
		r.report.RequestsFailed++
	case outcome == request.Answered:
		r.report.Answered++
	case outcome == string(fault.OutcomeUnknown):
		r.report.OutcomeUnknown++
	default:
		r.report.NotRun++
	}
	return nil
}

func (r *run) measure() {
	r.report.FlowsOpened, r.report.FlowsBroken = r.callers.counts()
	for _, b := range r.fleet.backends {
		r.report.PacketsMisdelivered += b.Packets.Counts().Misdelivered
	}
	for _, st := range r.streams {
		r.report.StreamsOpened++
		if st.broken {
			r.report.StreamsBroken++
		}
		_ = st.conn.Close()
	}
	r.report.Imbalance = r.imbalance()
	r.report.KeysRunTwice = r.keysRunTwice()
}

// imbalance returns the most open flows of a backend server that takes new
// ones, divided by the mean, for the first service.
func (r *run) imbalance() float64 {
	total, most, n := 0, 0, 0
	for _, b := range r.fleet.backends[1:] { // the first one drains
		if b.Service != serviceSpecs[0].name {
			continue
		}
		open := b.Packets.Counts().Open
		total += open
		most = max(most, open)
		n++
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(total)
}
