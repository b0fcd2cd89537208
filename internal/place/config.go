package place

import (
	"slices"
	"time"

	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// serviceConfig holds the settings of a service that the planner uses.
type serviceConfig struct {
	buckets         int
	zones           []string
	moveRate        float64 // buckets per second
	imbalanceWeight float64 // setting balance.imbalance_weight, 0 to 1
}

// backendConfig holds the settings of a backend server that the planner uses.
type backendConfig struct {
	drain     bool
	weight    int
	ownWeight bool // weight is set on this backend server itself, not inherited
	ramp      time.Duration
}

// backendNode identifies the node of a backend server in the settings tree.
type backendNode struct{ service, zone, id string }

// configCache holds decoded settings until the settings tree changes.
type configCache struct {
	valid     bool
	revision  uint64
	tree      settings.Tree
	services  []string
	byService map[string]serviceConfig
	byBackend map[backendNode]backendConfig
}

func (c *configCache) refresh(t settings.Tree, revision uint64) {
	if c.valid && c.revision == revision {
		return
	}
	*c = configCache{
		valid:     true,
		revision:  revision,
		tree:      t,
		services:  t.Services(),
		byService: map[string]serviceConfig{},
		byBackend: map[backendNode]backendConfig{},
	}
	for _, name := range c.services {
		path := settings.Path(name)
		c.byService[name] = serviceConfig{
			buckets:         t.Int(path, settings.FlowBuckets),
			zones:           t.TextList(path, settings.ServiceZones),
			moveRate:        t.Float(path, settings.BalanceMoveRate),
			imbalanceWeight: t.Float(path, settings.BalanceImbalance),
		}
	}
}

// servedIn reports whether the service exists and is configured to run in the
// zone.
func (c *configCache) servedIn(service, zone string) bool {
	return slices.Contains(c.byService[service].zones, zone)
}

func (c *configCache) backend(b table.Backend) backendConfig {
	key := backendNode{b.Service, b.Zone, b.ID}
	if cfg, ok := c.byBackend[key]; ok {
		return cfg
	}
	path := settings.Path(b.Service, b.Zone, b.ID)
	value, err := c.tree.Effective(path, settings.BackendWeight)
	cfg := backendConfig{
		drain:     c.tree.Bool(path, settings.BackendDrain),
		weight:    c.tree.Int(path, settings.BackendWeight),
		ownWeight: err == nil && value.Origin == path,
		ramp:      c.tree.Duration(path, settings.BackendRamp),
	}
	c.byBackend[key] = cfg
	return cfg
}

// weightOf returns the weight of a backend server before ramp and correction. A
// weight that an operator set on the backend server itself takes precedence over
// the announced one, which takes precedence over an inherited setting.
func (c *configCache) weightOf(b table.Backend) int {
	cfg := c.backend(b)
	if b.Weight > 0 && !cfg.ownWeight {
		return b.Weight
	}
	return cfg.weight
}
