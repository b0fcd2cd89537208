package place

import (
	"slices"
	"time"

	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// serviceConfig holds the settings of a service that placement needs.
type serviceConfig struct {
	buckets   int
	zones     []string
	moveRate  float64 // buckets per second
	imbalance float64 // 0 to 1
}

// backendConfig holds the settings of a backend server that placement needs.
type backendConfig struct {
	drain  bool
	weight int
	own    bool // weight is set for this backend server alone
	ramp   time.Duration
}

// backendPlace is the node of a backend server in the tree of settings.
type backendPlace struct{ service, zone, id string }

// configCache keeps decoded settings until the tree changes.
type configCache struct {
	valid     bool
	revision  uint64
	tree      settings.Tree
	services  []string
	byService map[string]serviceConfig
	byBackend map[backendPlace]backendConfig
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
		byBackend: map[backendPlace]backendConfig{},
	}
	for _, name := range c.services {
		path := settings.Path(name)
		c.byService[name] = serviceConfig{
			buckets:   t.Int(path, settings.FlowBuckets),
			zones:     t.TextList(path, settings.ServiceZones),
			moveRate:  t.Float(path, settings.BalanceMoveRate),
			imbalance: t.Float(path, settings.BalanceImbalance),
		}
	}
}

// servedIn reports whether the service exists and runs in the zone.
func (c *configCache) servedIn(service, zone string) bool {
	return slices.Contains(c.byService[service].zones, zone)
}

func (c *configCache) backend(b table.Backend) backendConfig {
	key := backendPlace{b.Service, b.Zone, b.ID}
	if cfg, ok := c.byBackend[key]; ok {
		return cfg
	}
	path := settings.Path(b.Service, b.Zone, b.ID)
	value, err := c.tree.Effective(path, settings.BackendWeight)
	cfg := backendConfig{
		drain:  c.tree.Bool(path, settings.BackendDrain),
		weight: c.tree.Int(path, settings.BackendWeight),
		own:    err == nil && value.Origin == path,
		ramp:   c.tree.Duration(path, settings.BackendRamp),
	}
	c.byBackend[key] = cfg
	return cfg
}

// weightOf returns the weight of a backend server without ramp. A weight that
// an operator set for it goes before the one that it announced.
func (c *configCache) weightOf(b table.Backend) int {
	cfg := c.backend(b)
	if b.Weight > 0 && !cfg.own {
		return b.Weight
	}
	return cfg.weight
}
