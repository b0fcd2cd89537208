package fleet

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"slices"

	"greengagequay/internal/eventlog"
)

// settingsFile is a settings file that may change while the host runs.
type settingsFile struct {
	path string
	data []byte // contents at the last read
	cfg  Config // settings in force
	log  *eventlog.Log
}

// openSettings reads the settings that a host starts with.
func openSettings(path string) (*settingsFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, readSettingsError(err)
	}
	cfg, err := ParseConfig(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &settingsFile{path: path, data: data, cfg: cfg}, nil
}

// reload returns the settings if they have changed and are valid, else false.
func (f *settingsFile) reload() (Config, bool) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		f.log.Event("reload", "could not read the settings file; the current settings stay in force", eventlog.Fields{"error": readSettingsError(err).Error()})
		return Config{}, false
	}
	if bytes.Equal(data, f.data) {
		return Config{}, false
	}
	f.data = data
	cfg, err := ParseConfig(data)
	if err != nil {
		f.log.Event("reload", "the changed settings are invalid; the current settings stay in force", eventlog.Fields{"error": err.Error()})
		return Config{}, false
	}
	old := f.cfg
	f.cfg = cfg
	f.log.Event("reload", "loaded changed settings", eventlog.Fields{
		"seeds": cfg.Seeds, "seeds_changed": !slices.Equal(old.Seeds, cfg.Seeds), "needs_restart": old.needsRestart(cfg),
	})
	return cfg, true
}

// needsRestart reports whether any setting differs but Seeds, which a running host
// applies, and FirstStart, which matters at a start only.
func (c Config) needsRestart(next Config) bool {
	c.Seeds, next.Seeds = nil, nil
	c.FirstStart, next.FirstStart = false, false
	return !reflect.DeepEqual(c, next)
}
