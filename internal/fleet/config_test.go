package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

const entrySettings = `{
  // an entry host
  "name": "e1", "role": "entry", "zone": "a", "ip": "10.0.0.1", "packets": "10.0.0.1:1", "ready": "10.0.0.1:2",
  "internal": [7000, 7010], "metrics": "10.0.0.1:3", "seeds": ["10.0.0.9:80"], "heartbeatMs": 1000, "drainMs": 3000,
  "tolerateLoss": 1, "graceS": 6,
}`

func TestConfig(t *testing.T) {
	c := qt.New(t)
	cfg, err := ParseConfig([]byte(entrySettings))
	c.Assert(err, qt.IsNil)
	c.Assert(cfg.feedAddr(), qt.Equals, "10.0.0.1:7000")
	c.Assert(logAddr(cfg.feedAddr()), qt.Equals, "10.0.0.1:7001")
	c.Assert(cfg.seedFeedAddrs(), qt.DeepEquals, []string{"10.0.0.9:7000"})
	c.Assert(cfg.targetVoters(), qt.Equals, 3)
	c.Assert(cfg.drainFallback(), qt.Equals, 1200*time.Millisecond)
}

func TestConfigRefuses(t *testing.T) {
	tests := []struct{ name, old, new, message string }{
		{"unknown field", `"name"`, `"nome"`, `.*unknown field "nome".*`},
		{"field twice", `"zone": "a"`, `"zone": "a", "zone": "b"`, `.*zone.*`},
		{"no name", `"e1"`, `""`, `.*"name" is empty.*`},
		{"unknown role", `"entry"`, `"guest"`, `.*"role" is "guest".*`},
		{"no data folder", `"entry"`, `"control", "api": "10.0.0.1:4"`, `.*"data" is empty.*`},
		{"bad ip", `"10.0.0.1"`, `"here"`, `.*"ip".*`},
		{"bad address", `"10.0.0.1:1"`, `"10.0.0.1"`, `.*"packets".*`},
		{"bad seed", `["10.0.0.9:80"]`, `["x"]`, `.*"seeds", item 0.*`},
		{"no internal port", `[7000, 7010]`, `[]`, `.*"internal".*`},
		{"negative memoryMb", `"drainMs": 3000`, `"memoryMb": -1`, `.*"memoryMb" is -1.*`},
		{"negative staleMs", `"drainMs": 3000`, `"staleMs": -1`, `.*"staleMs" is -1.*`},
		{"no port after the first one", `[7000, 7010]`, `[65535]`, `.*"internal".*next port.*`},
		{"port out of range", `[7000, 7010]`, `[70000]`, `.*"internal".*`},
		{"no heartbeat", `"heartbeatMs": 1000`, `"heartbeatMs": 0`, `.*"heartbeatMs" is 0.*`},
		{"negative tolerance", `"tolerateLoss": 1`, `"tolerateLoss": -1`, `.*"tolerateLoss" is -1.*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(entrySettings, tt.old, tt.new, 1)
			qt.Assert(t, text, qt.Not(qt.Equals), entrySettings)
			_, err := ParseConfig([]byte(text))
			qt.Assert(t, err, qt.ErrorMatches, tt.message)
			qt.Assert(t, fault.KindOf(err), qt.Equals, fault.Invalid)
		})
	}
}

func TestNeedsRestart(t *testing.T) {
	c := qt.New(t)
	old, err := ParseConfig([]byte(entrySettings))
	c.Assert(err, qt.IsNil)
	next := old
	next.Seeds, next.FirstStart = []string{"10.0.0.8:80"}, true
	c.Assert(old.needsRestart(next), qt.IsFalse)
	for name, change := range map[string]func(*Config){
		"zone":         func(n *Config) { n.Zone = "b" },
		"internal":     func(n *Config) { n.Internal = []int{7001, 7010} },
		"metrics":      func(n *Config) { n.Metrics = "10.0.0.1:4" },
		"tolerateLoss": func(n *Config) { n.TolerateLoss = 2 },
		"drainMs":      func(n *Config) { n.DrainMs = 4000 },
		"via":          func(n *Config) { n.Via = map[string]string{"10.0.0.9:7000": "10.0.0.8:7000"} },
		"graceS":       func(n *Config) { n.GraceS = 7 },
		"staleMs":      func(n *Config) { n.StaleMs = 1 },
		"memoryMb":     func(n *Config) { n.MemoryMB = 1 },
	} {
		changed := next
		change(&changed)
		c.Check(old.needsRestart(changed), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Settings that tolerate more lost hosts than the log supports are accepted.
func TestTargetVotersAreLimited(t *testing.T) {
	for _, tt := range []struct{ tolerated, targetVoters int }{{0, 1}, {1, 3}, {2, 5}, {3, 7}, {4, 7}} {
		qt.Check(t, Config{TolerateLoss: tt.tolerated}.targetVoters(), qt.Equals, tt.targetVoters)
	}
}

func TestMemoryLimit(t *testing.T) {
	qt.Check(t, Config{}.memoryLimit(), qt.Equals, int64(math.MaxInt64))
	limit := Config{MemoryMB: 128}.memoryLimit()
	qt.Check(t, limit > 0 && limit < 128_000_000, qt.IsTrue, qt.Commentf("%d", limit))
}
