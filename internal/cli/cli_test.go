package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/daemon"
	"greengagequay/internal/logs"
)

// startHost starts a host that is both entry host and control host, waits until it
// has a state, and returns its API address.
func startHost(t *testing.T) string {
	const any = "127.0.0.1:0"
	b, err := daemon.Bind(config.Config{
		Name: "rvk-a-1", Zone: "rvk-a", Roles: []config.Role{config.Entry, config.Control}, Data: t.TempDir(), Bootstrap: true,
		RPC: any, API: any, Gossip: any, Packets: any, Relay: any, Requests: any,
		Log: config.Log{Level: "warn", Format: "text"},
	})
	qt.Assert(t, err, qt.IsNil)
	b.Config.Control = []config.Peer{{Name: "rvk-a-1", RPC: b.Config.RPC}}
	d, err := daemon.Start(b, logs.Discard(), clock.Real{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(d.Kill)
	for {
		changed := d.Replica.Changed()
		if d.Replica.Revision() > 0 {
			return d.Config.API
		}
		<-changed
	}
}

// quayctl runs a command and returns its exit code and output.
func quayctl(server string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(context.Background(), append([]string{"--server", server}, args...), &o, &e)
	return code, o.String(), e.String()
}

func TestSettingsCommands(t *testing.T) {
	c := qt.New(t)
	server := startHost(t)
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	c.Assert(os.WriteFile(file, []byte(`{
	// boards stay open all day
	"/pantanir": {"service.zones": ["rvk-a"], "flow.idle_timeout": "12h"},
}`), 0o600), qt.IsNil)

	steps := []struct {
		args []string
		code int
		want string // expected in the output, or in the error output if the command fails
	}{
		{[]string{"settings", "diff", file}, exitOK, `"12h"`},
		{[]string{"settings", "apply", "--dry-run", file}, exitOK, "true"},
		{[]string{"settings", "get", "/pantanir", "flow.idle_timeout"}, exitOK, `"4h"`},
		{[]string{"settings", "apply", "--id", "one", file}, exitOK, "one"},
		{[]string{"settings", "apply", "--id", "one", file}, exitOK, "true"}, // a retry with the same id is reported as repeated
		{[]string{"settings", "set", "/pantanir/rvk-a", "request.queue", "3"}, exitOK, ""},
		{[]string{"settings", "explain", "/pantanir/rvk-a", "request.queue"}, exitOK, "/pantanir/rvk-a"},
		{[]string{"settings", "set", "--base", "0", "/", "request.queue", "4"}, exitFailure, "changed at revision"},
		{[]string{"settings", "set", "/", "request.queue", "many"}, exitFailure, "remedy:"},
		{[]string{"settings", "unset", "/pantanir/rvk-a", "request.queue"}, exitOK, ""},
		{[]string{"settings", "diff", "-o", "json", file}, exitOK, "[]"},
		{[]string{"settings", "export", "--base", file}, exitOK, "// boards stay open all day"},
		{[]string{"settings", "history", "-o", "json"}, exitOK, `"one"`},
		{[]string{"settings", "get", "nowhere"}, exitFailure, "not absolute"},
		{[]string{"services"}, exitOK, "pantanir"},
		{[]string{"status"}, exitOK, "rvk-a-1"},
		{[]string{"backends"}, exitOK, "BACKEND"},
		{[]string{"hosts"}, exitOK, "HOST"},
		{[]string{"zones"}, exitOK, "ZONE"},
		{[]string{"drain", "pantanir-9"}, exitFailure, "does not exist"},
		{[]string{"settings", "paint"}, exitUsage, "quayctl:"},
	}
	for _, s := range steps {
		code, out, errOut := quayctl(server, s.args...)
		comment := qt.Commentf("%s: %s%s", strings.Join(s.args, " "), out, errOut)
		c.Assert(code, qt.Equals, s.code, comment)
		if s.code != exitOK {
			out = errOut
		}
		c.Assert(out, qt.Contains, s.want, comment)
	}
}

func TestHostThatDoesNotAnswer(t *testing.T) {
	c := qt.New(t)
	code, _, errOut := quayctl("127.0.0.1:1", "status")
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Contains, "--server")
}

func TestExportKeepsComments(t *testing.T) {
	c := qt.New(t)
	base := []byte(`{
	// the orders
	"/pantanir": {
		"request.queue": 3, // short
	},
	"/gone": {"request.queue": 1},
}`)
	current, err := parseTree([]byte(`{"/pantanir": {"request.queue": 4}, "/": {"backend.slots": 2}}`))
	c.Assert(err, qt.IsNil)
	out, err := exportTree(base, current)
	c.Assert(err, qt.IsNil)
	c.Assert(string(out), qt.Contains, "// the orders")
	c.Assert(string(out), qt.Contains, "// short")
	reparsed, err := parseTree(out)
	c.Assert(err, qt.IsNil)
	c.Assert(diffTrees(current, reparsed), qt.HasLen, 0)
}
