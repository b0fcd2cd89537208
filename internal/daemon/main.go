package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/fleet"
	"greengagequay/internal/logs"
)

// Exit codes of quayd.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type commands struct {
	Run   runCmd   `cmd:"" help:"Run the host."`
	Check checkCmd `cmd:"" help:"Check a settings file."`
	Host  hostCmd  `cmd:"" help:"Run a host of a deployment whose packets carry tokens."`
}

type hostCmd struct {
	Config string `help:"Settings of the host, JSON with comments." required:"" type:"path"`
	Check  bool   `help:"Check the settings and exit."`
}

type runCmd struct {
	Config string        `help:"Settings of the process, JSON with comments." required:"" type:"path"`
	Grace  time.Duration `help:"Longest time a graceful shutdown may take." default:"10m"`
}

type checkCmd struct {
	Config string `help:"Settings of the process, JSON with comments." required:"" type:"path"`
}

// Main runs quayd and returns its exit code.
func Main(args []string, a fleet.Adapter, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("quayd"), kong.Description("A host of greengagequay, a layer-4 load balancer."), kong.Writers(out, errOut))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "quayd:", err)
		return exitUsage
	}
	if err := parsed.Run(&hostEnv{adapter: a, out: out}); err != nil {
		fmt.Fprintln(errOut, "quayd:", err)
		return exitFailure
	}
	return exitOK
}

// hostEnv holds the adapter and the output of the host command.
type hostEnv struct {
	adapter fleet.Adapter
	out     io.Writer
}

// Run runs the host until SIGTERM or an interrupt. If Check is set, it only checks
// the settings.
func (c *hostCmd) Run(env *hostEnv) error {
	if c.Check {
		_, err := fleet.LoadConfig(c.Config)
		return err
	}
	return fleet.Run(context.Background(), c.Config, env.adapter, env.out)
}

func (c *checkCmd) Run() error {
	_, err := config.Load(c.Config)
	return err
}

// Run runs the host until SIGTERM or an interrupt. A second signal aborts what is
// still in progress.
func (c *runCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	l, err := logs.New(os.Stderr, cfg.Log)
	if err != nil {
		return err
	}
	b, err := Bind(cfg)
	if err != nil {
		return err
	}
	d, err := Start(b, l, clock.Real{})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), c.Grace)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return d.Stop(ctx)
}
