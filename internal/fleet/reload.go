package fleet

import (
	"bytes"
	"os"
	"slices"

	"greengagequay/internal/eventlog"
)

// settingsFile watches a settings file. It may change with a signal or without.
type settingsFile struct {
	path string
	data []byte // as last read
	cfg  Config // in force
	log  *eventlog.Log
}

// openSettings reads the settings that a host starts with.
func openSettings(path string) (*settingsFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settingsUnreadable(err)
	}
	cfg, err := ParseConfig(data)
	if err != nil {
		return nil, err
	}
	return &settingsFile{path: path, data: data, cfg: cfg}, nil
}

// reload returns changed settings, and false if there are none that can be put
// in force.
func (f *settingsFile) reload() (Config, bool) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		f.log.Event("reload", "keeps its settings", eventlog.Fields{"error": settingsUnreadable(err).Error()})
		return Config{}, false
	}
	if bytes.Equal(data, f.data) {
		return Config{}, false
	}
	f.data = data
	cfg, err := ParseConfig(data)
	if err != nil {
		f.log.Event("reload", "keeps its settings", eventlog.Fields{"error": err.Error()})
		return Config{}, false
	}
	was := f.cfg
	f.cfg = cfg
	f.log.Event("reload", "took changed settings", eventlog.Fields{
		"seeds": cfg.Seeds, "seeds_changed": !slices.Equal(was.Seeds, cfg.Seeds), "needs_restart": was.needsRestart(cfg),
	})
	return cfg, true
}

// needsRestart reports whether the settings differ in more than what a running
// host follows.
func (c Config) needsRestart(next Config) bool {
	c.Seeds, next.Seeds = nil, nil
	c.FirstStart, next.FirstStart = false, false
	return !slices.Equal(c.Internal, next.Internal) || c.identity() != next.identity()
}

// identity returns the settings that hold until a restart, but for lists.
func (c Config) identity() [10]any {
	return [10]any{c.Name, c.Role, c.Zone, c.IP, c.Packets, c.Ready, c.API, c.Data, c.HeartbeatMs, c.LinkMbps}
}
