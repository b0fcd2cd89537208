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

// Parameters of a host's process.
const (
	gcPercent            = 400                    // heaps are small, so they may grow more between garbage collections than by default
	logCloseTimeout      = 200 * time.Millisecond // limits the wait for a blocked log output
	settingsPollInterval = 2 * time.Second        // interval between checks of the settings file
)

// host is a running host of either role.
type host interface {
	// Reload applies those changed settings that need no restart.
	Reload(Config)
	// Stop ends the host within its grace period.
	Stop()
}

// Run runs a host with the settings at path until SIGTERM, an interrupt or the end
// of ctx.
func Run(ctx context.Context, path string, a Adapter, out io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	settings, err := openSettings(path)
	if err != nil {
		return err
	}
	log := eventlog.New(out, settings.cfg.Name, time.Now)
	defer log.Close(logCloseTimeout)
	settings.log = log
	cfg := settings.cfg
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.memoryLimit())
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

// serve checks the settings file at each settingsPollInterval and on SIGHUP, and
// reloads changed settings. It returns the reason when another signal or ctx ends
// the host.
func serve(ctx context.Context, h host, settings *settingsFile, signals <-chan os.Signal) string {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err().Error()
		case s := <-signals:
			if s != syscall.SIGHUP {
				return s.String()
			}
		case <-ticker.C:
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
