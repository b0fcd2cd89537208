// Package demo runs a small system on loopback, drains a backend server, restarts
// an entry host and changes a setting while callers use the system, and reports
// what the callers observed.
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
	"greengagequay/internal/emulator"
	"greengagequay/internal/fault"
	"greengagequay/internal/model"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
)

type Options struct {
	Flows    int       // flows to each service
	Requests int       // requests in each of two rounds
	Seed     uint64    // determines the random choices of the callers
	Progress io.Writer // receives one line for each step unless nil
}

// Report holds the results of a demonstration.
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
	ControlBytesPerHostS float64 `json:"controlBytesPerHostPerSecond"` // while the system is idle
	FlowsToDraining      int     `json:"newFlowsToDraining"`
	StreamsOpened        int     `json:"connectionsOpened"`
	StreamsBroken        int     `json:"connectionsBroken"`
	KeysRunTwice         int     `json:"keysRunTwice"`
}

// Err returns an error for the first invariant that was violated, or nil.
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
		return fault.New(fault.Internal, "report a defect with the seed", "%d requests that may run only once ran more often", r.KeysRunTwice)
	case r.RequestsFailed > 0:
		return fault.New(fault.Internal, "report a defect with the seed", "%d requests failed", r.RequestsFailed)
	}
	return nil
}

var hosts = []emulator.HostSpec{
	{Name: "rvk-a-1", Zone: "rvk-a", Control: true},
	{Name: "rvk-a-2", Zone: "rvk-a"},
	{Name: "rvk-b-1", Zone: "rvk-b", Control: true},
	{Name: "rvk-b-2", Zone: "rvk-b", Control: true},
}

var services = []emulator.ServiceSpec{
	{Name: "pantanir", Address: netip.MustParseAddrPort("203.0.113.10:443"), Backends: 4, Slots: 3},
	{Name: "myndir", Address: netip.MustParseAddrPort("203.0.113.20:443"), Backends: 2, Slots: 3},
}

// run is one demonstration in progress.
type run struct {
	Options
	fleet   *emulator.Fleet
	callers *emulator.Callers
	streams []*stream
	report  Report
}

func Run(ctx context.Context, o Options) (Report, error) {
	c, err := emulator.NewCallers(o.Seed)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	f, err := emulator.Start(hosts, services, c.Address())
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	c.SetEntries(f.Entries)
	r := &run{Options: o, fleet: f, callers: c}
	if err := r.steps(ctx); err != nil {
		return r.report, err
	}
	r.measure()
	return r.report, r.report.Err()
}

func (r *run) steps(ctx context.Context) error {
	steps := []struct {
		name string
		fn   func(context.Context) error
	}{
		{"create services", r.createServices},
		{"open flows", r.openFlows},
		{"open plain connections", r.openStreams},
		{"send requests", r.sendRequests},
		{"drain a backend server", r.drain},
		{"open more flows", r.openMoreFlows},
		{"restart an entry host", func(ctx context.Context) error { return r.fleet.Restart(ctx, 3) }},
		{"use all flows", r.useFlows},
		{"use all plain connections", r.useStreams},
		{"repeat requests that may run once", r.repeatKeyedRequests},
		{"send requests", r.sendRequests},
		{"change a setting", r.changeSetting},
		{"rest", r.measureIdle},
	}
	for i, step := range steps {
		if r.Progress != nil {
			fmt.Fprintf(r.Progress, "[%d/%d] %s\n", i+1, len(steps), step.name)
		}
		if err := step.fn(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

func (r *run) createServices(ctx context.Context) error {
	if err := r.fleet.CreateServices(ctx, 1); err != nil {
		return err
	}
	return r.fleet.WaitPlaced(ctx)
}

func (r *run) openFlows(ctx context.Context) error {
	for _, s := range services {
		r.callers.Open(s.Address, r.Flows)
	}
	return r.callers.AwaitAnswers(ctx)
}

func (r *run) useFlows(ctx context.Context) error {
	r.callers.SendData()
	return r.callers.AwaitAnswers(ctx)
}

func (r *run) drain(ctx context.Context) error {
	drained := r.fleet.Backends[0]
	if err := drained.SetState(ctx, model.Draining); err != nil {
		return err
	}
	return r.fleet.WaitFor(ctx, func() bool {
		for i := range hosts {
			for _, b := range r.fleet.Host(i).Replica.Table().Backends {
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
	res, err := r.fleet.Change(ctx, 1, "demo-timeout", []api.Op{emulator.SetOp("/", settings.RequestTimeout, `"20s"`)})
	if err != nil {
		return err
	}
	if err := r.fleet.WaitRevision(ctx, uint64(res.Revision), r.fleet.Running()...); err != nil {
		return err
	}
	r.report.InForceSeconds = time.Since(start).Seconds()
	return nil
}

func (r *run) sendRequests(ctx context.Context) error {
	for i := range r.Requests {
		svc := services[i%len(services)]
		host := r.fleet.Host(i % len(hosts))
		if err := r.sendRequest(ctx, requestSpec{service: svc.Name, addr: host.Config.Requests, size: i}); err != nil {
			return err
		}
	}
	return nil
}

// requestSpec describes a request to send.
type requestSpec struct {
	service string
	addr    string // request address of the entry host
	size    int    // size of the body in bytes
	key     string // empty for a request that may run more than once
}

func (r *run) sendRequest(ctx context.Context, s requestSpec) error {
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
	r.report.FlowsOpened, r.report.FlowsBroken = r.callers.Counts()
	for _, b := range r.fleet.Backends {
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

// imbalance returns the largest number of open flows of a backend server divided
// by the mean, over those backend servers of the first service that do not drain.
func (r *run) imbalance() float64 {
	total, most, n := 0, 0, 0
	for _, b := range r.fleet.Backends[1:] { // the first one is draining
		if b.Service != services[0].Name {
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
