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
type host interface {
	// Reload puts changed settings in force, as far as that needs no restart.
	Reload(Config)
	// Stop ends the host within its grace.
	Stop()
}

// Run runs a host with the settings at path until SIGTERM or an interrupt.
func Run(ctx context.Context, path string, a Adapter, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	settings, err := openSettings(path)
	if err != nil {
		return err
	}
	log := eventlog.New(out, settings.cfg.Name, time.Now)
	defer log.Close(logCloseLimit)
	settings.log = log
	cfg := settings.cfg
	h, err := start(cfg, a, log)
	if err != nil {
		log.Event("stop", "could not start", eventlog.Fields{"error": err.Error()})
		return err
	}
	log.Event("start", "started", eventlog.Fields{"role": cfg.Role, "zone": cfg.Zone, "first_start": cfg.FirstStart})
	reason := serve(ctx, h, settings, signals)
	log.Event("stop", "stops", eventlog.Fields{"reason": reason})
	h.Stop()
	return nil
}

// serve follows the settings until the host is told to stop, and returns by
// what.
func serve(ctx context.Context, h host, settings *settingsFile, signals <-chan os.Signal) string {
	look := time.NewTicker(reloadPause)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err().Error()
		case s := <-signals:
			if s != syscall.SIGHUP {
				return s.String()
			}
		case <-look.C:
		}
		if cfg, changed := settings.reload(); changed {
			h.Reload(cfg)
		}
	}
}

func start(cfg Config, a Adapter, log *eventlog.Log) (host, error) {
	if cfg.Role == Control {
		return StartControl(cfg, a, log)
	}
	return StartEntry(cfg, a, log)
}
