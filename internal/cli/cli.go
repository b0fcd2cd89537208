// Package cli implements the commands of quayctl.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"greengagequay/internal/api"
	"greengagequay/internal/apiclient"
	"greengagequay/internal/fault"
)

// Exit codes of quayctl.
const (
	exitOK      = 0
	exitFailure = 1 // the command failed
	exitUsage   = 2 // the command line is invalid
)

// Globals are flags that all commands share.
type Globals struct {
	Server  string        `help:"API address of any host, IP:port." default:"127.0.0.1:7300" env:"QUAY_SERVER"`
	Token   string        `help:"API token." env:"QUAY_TOKEN"`
	CA      string        `help:"PEM file of the authority that signed the hosts' certificates; enables TLS." name:"ca" env:"QUAY_CA" type:"path"`
	Output  string        `help:"Output format." enum:"table,json" default:"table" short:"o"`
	Timeout time.Duration `help:"Timeout of an API call." default:"10s"`
}

// commands defines the command line for kong.
type commands struct {
	Globals
	Settings settingsCmd `cmd:"" help:"Read and change settings."`
	Services servicesCmd `cmd:"" help:"List services."`
	Zones    zonesCmd    `cmd:"" help:"List availability zones."`
	Backends backendsCmd `cmd:"" help:"List backend servers."`
	Hosts    hostsCmd    `cmd:"" help:"List hosts of the system."`
	Status   statusCmd   `cmd:"" help:"Show revision, leader and hosts that lag behind."`
	Control  controlCmd  `cmd:"" help:"Operate the control hosts: members, backup, restore."`
	Drain    drainCmd    `cmd:"" help:"Stop sending new work to a backend server."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in backend server for tests."`
	Demo     demoCmd     `cmd:"" help:"Run a small system on loopback and report the outcomes of its callers."`
	Explain  timelineCmd `cmd:"" help:"Show the timeline of a request, flow, backend server or document from logs of hosts."`
	Soak     soakCmd     `cmd:"" help:"Run a deployment as separate processes, inject faults, and check the guarantees."`
	Load     loadCmd     `cmd:"" help:"Send requests to a small system on loopback and report outcomes and latency."`

	Evacuations evacuationsCmd `cmd:"" help:"List, start and end evacuations of zones; --server is the metrics address of a control host of a deployment whose packets carry tokens."`
	Where       whereCmd       `cmd:"" help:"Explain where a new flow would go now, without sending anything; --server is the metrics address of an entry host of a deployment whose packets carry tokens, or with --buckets the API address of another host."`
}

// env holds the shared flags, the context and the output streams of a command.
type env struct {
	Globals
	ctx context.Context
	out io.Writer
	err io.Writer
}

// Main runs quayctl and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("quayctl"),
		kong.Description("Operates greengagequay, a layer-4 load balancer."),
		kong.Writers(out, errOut), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "quayctl:", err)
		return exitUsage
	}
	e := &env{Globals: c.Globals, ctx: ctx, out: out, err: errOut}
	if err := parsed.Run(e); err != nil {
		printError(errOut, err)
		return exitFailure
	}
	return exitOK
}

// printError writes the error, the changes that a conflict reports, and the
// remedy.
func printError(w io.Writer, err error) {
	f := fault.From(apiclient.Explain(err))
	fmt.Fprintf(w, "quayctl: %s\n", f.Message)
	for _, c := range apiclient.ChangedSince(err) {
		for _, op := range c.Ops {
			fmt.Fprintf(w, "changed at revision %d by %s: %s %s %s %s\n", c.Revision, c.Author, op.Action, op.Path, op.Key, op.Value.Value)
		}
	}
	if f.Remedy != "" {
		fmt.Fprintf(w, "remedy: %s\n", f.Remedy)
	}
}

// callAPI calls the API. The --timeout flag limits its duration.
func callAPI[T any](e *env, call func(*api.Client, context.Context) (T, error)) (result T, err error) {
	client, err := apiclient.New(apiclient.Options{Server: e.Server, Token: e.Token, CA: e.CA})
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.Timeout)
	defer cancel()
	return call(client, ctx)
}

// print writes the value as JSON, or the rows as a table.
func (e *env) print(value any, header string, rows [][]any) error {
	if e.Output == "json" {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// isTerminal reports whether the file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
