package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

const valid = `{
	// a host of the first zone
	"name": "rvk-a-1",
	"zone": "rvk-a",
	"roles": ["entry", "control"],
	"data": "/var/lib/quay",
	"rpc": "127.0.0.1:7100",
	"gossip": "127.0.0.1:7200",
	"api": "127.0.0.1:7300",
	"packets": "127.0.0.1:7400",
	"relay": "127.0.0.1:7500",
	"requests": "127.0.0.1:7600",
	"control": [{"name": "rvk-a-1", "rpc": "127.0.0.1:7100"}],
}`

func TestValidSettings(t *testing.T) {
	c := qt.New(t)
	cfg, err := Parse([]byte(valid))
	c.Assert(err, qt.IsNil)
	c.Assert(cfg.Has(Entry), qt.IsTrue)
	c.Assert(cfg.Log.Level, qt.Equals, "info")
	c.Assert(cfg.Exposed(), qt.HasLen, 0)
}

func TestBadSettingsNameFieldAndRemedy(t *testing.T) {
	for _, tc := range []struct {
		name, from, to string
		want           []string
	}{
		{"address", `"127.0.0.1:7300"`, `"localhost"`, []string{`"api"`, `"localhost"`, "IP:port"}},
		{"role", `"control"]`, `"captain"]`, []string{`"roles"`, `"captain"`, "entry, control"}},
		{"unknown field", `"zone"`, `"zoen"`, []string{`"zoen"`}},
		{"no data folder", `"data": "/var/lib/quay",`, ``, []string{`"data"`, "folder"}},
		{"half of tls", `"rpc"`, `"tls": {"key": "k.pem"}, "rpc"`, []string{`"tls.certificate"`, `"tls.authority"`}},
		{"two invalid fields", `"rvk-a",
	"roles": ["entry", "control"]`, `"",
	"roles": []`, []string{`"zone"`, `"roles"`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			data := strings.Replace(valid, tc.from, tc.to, 1)
			c.Assert(data, qt.Not(qt.Equals), valid)
			_, err := Parse([]byte(data))
			c.Assert(fault.KindOf(err), qt.Equals, fault.Invalid)
			for _, text := range tc.want {
				c.Check(err.Error(), qt.Contains, text)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"roles": [null], "listeners": {"": ""}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse(data); err != nil && fault.KindOf(err) != fault.Invalid {
			t.Fatalf("error of kind %s: %v", fault.KindOf(err), err)
		}
	})
}
