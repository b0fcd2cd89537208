package fleet

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"greengagequay/internal/eventlog"
)

// Limits of a process.
const (
	gcPercent     = 400                    // heaps are small, so collections are rare
	logCloseLimit = 200 * time.Millisecond // for an output that does not take lines
	reloadPause   = 2 * time.Second        // between looks at the settings file
)

// host is what both roles have in common.
type host interface{ Stop() }

// Run runs a host with the settings at path until SIGTERM or an interrupt.
func Run(ctx context.Context, path string, a Adapter, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	cfg, err := LoadConfig(path)
	if err != nil {
		return err
	}
	log := eventlog.New(out, time.Now)
	defer log.Close(logCloseLimit)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	h, err := start(cfg, a, log)
	if err != nil {
		return err
	}
	log.Event("start", "started", eventlog.Fields{"host": cfg.Name, "role": cfg.Role, "zone": cfg.Zone, "first_start": cfg.FirstStart})
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				continue
			}
			log.Event("stop", "stops on a signal", eventlog.Fields{"signal": s.String()})
		case <-ctx.Done():
			log.Event("stop", "stops", eventlog.Fields{})
		}
		h.Stop()
		return nil
	}
}

func start(cfg Config, a Adapter, log *eventlog.Log) (host, error) {
	if cfg.Role == Control {
		return StartControl(cfg, a, log)
	}
	return StartEntry(cfg, a, log)
}
