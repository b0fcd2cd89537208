// Package config reads and checks the settings file of a process, which is JSON with
// comments. It reports all invalid fields together.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"greengagequay/internal/access"
	"greengagequay/internal/fault"
	"greengagequay/internal/jsonc"
)

// Role is a function of a process.
type Role string

const (
	Entry   Role = "entry"   // receives packets, connections and requests of callers
	Control Role = "control" // holds the replicated log
)

// Config holds the settings of one process.
type Config struct {
	Name          string            `json:"name"`          // unique name of the host
	Zone          string            `json:"zone"`          // availability zone
	Roles         []Role            `json:"roles"`         // entry, control or both
	Data          string            `json:"data"`          // data folder, required by control
	RPC           string            `json:"rpc"`           // TCP IP:port for calls between hosts
	Gossip        string            `json:"gossip"`        // UDP IP:port for gossip between hosts
	API           string            `json:"api"`           // TCP IP:port for operators, announcements and metrics
	Packets       string            `json:"packets"`       // UDP IP:port for packets from the fabric
	Relay         string            `json:"relay"`         // UDP IP:port for packets from other entry hosts
	Requests      string            `json:"requests"`      // TCP IP:port for HTTP requests of callers
	Listeners     map[string]string `json:"listeners"`     // TCP IP:port for plain TCP connections, by service
	Control       []Peer            `json:"control"`       // the control hosts
	Bootstrap     bool              `json:"bootstrap"`     // if true, the first host listed in control starts a new log with all control hosts as voters
	Seeds         []string          `json:"seeds"`         // gossip addresses of hosts through which this host joins the others
	TLS           access.Files      `json:"tls"`           // certificates for RPC (mutual TLS) and API; if empty, neither is encrypted
	GossipKeyFile string            `json:"gossipKeyFile"` // file of the key that authenticates gossip between hosts; if empty, gossip is not authenticated
	Tokens        string            `json:"tokens"`        // file of API tokens; if empty, the API needs no token
	Log           Log               `json:"log"`
}

// Peer names a control host.
type Peer struct {
	Name string `json:"name"`
	RPC  string `json:"rpc"`
}

// Log holds the settings of the log output.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// Has reports whether the process has the role.
func (c Config) Has(r Role) bool { return slices.Contains(c.Roles, r) }

// Load reads and checks the file at path.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fault.New(fault.Invalid, "give the path of a readable settings file with --config", "read settings: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse parses and checks settings.
func Parse(data []byte) (Config, error) {
	c := Config{Log: Log{Level: "info", Format: "text"}}
	if err := jsonc.Decode(data, &c); err != nil {
		return Config{}, fault.New(fault.Invalid, "correct the field; docs/operators/install.md lists all fields", "parse settings: %w", err)
	}
	return c, c.Check()
}

// Check returns all errors of the settings joined, or nil.
func (c Config) Check() error {
	var ck checker
	ck.name("name", c.Name)
	ck.name("zone", c.Zone)
	ck.roles(c.Roles)
	ck.addr("rpc", c.RPC, true)
	ck.addr("api", c.API, true)
	ck.addr("gossip", c.Gossip, true)
	entry := c.Has(Entry)
	ck.addr("packets", c.Packets, entry)
	ck.addr("relay", c.Relay, entry)
	ck.addr("requests", c.Requests, entry)
	for service, addr := range c.Listeners {
		ck.addr("listeners."+service, addr, true)
	}
	for i, p := range c.Control {
		ck.name(fmt.Sprintf("control[%d].name", i), p.Name)
		ck.addr(fmt.Sprintf("control[%d].rpc", i), p.RPC, true)
	}
	for i, s := range c.Seeds {
		ck.addr(fmt.Sprintf("seeds[%d]", i), s, true)
	}
	if len(c.Control) == 0 {
		ck.add("control", "", "name at least one control host")
	}
	if c.Has(Control) && c.Data == "" {
		ck.add("data", "", "name a folder on a disk; control hosts need one")
	}
	ck.tls(c.TLS)
	ck.oneOf("log.level", c.Log.Level, "debug", "info", "warn", "error")
	ck.oneOf("log.format", c.Log.Format, "text", "json")
	return errors.Join(ck.errs...)
}

// checker collects the errors of all fields of a Config.
type checker struct{ errs []error }

func (ck *checker) add(field, value, remedy string) {
	ck.errs = append(ck.errs, fault.New(fault.Invalid, remedy, "settings field %q has value %q", field, value))
}

// name checks a required name.
func (ck *checker) name(field, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		ck.add(field, value, "use a name without spaces and slashes")
	}
}

// addr checks an IP:port.
func (ck *checker) addr(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		ck.add(field, value, `use IP:port, such as "127.0.0.1:7100"`)
	}
}

// tls checks that either all files are named or none.
func (ck *checker) tls(f access.Files) {
	if f.Empty() {
		return
	}
	for _, file := range []struct{ field, name string }{
		{"tls.certificate", f.Certificate},
		{"tls.key", f.Key},
		{"tls.authority", f.Authority},
	} {
		if file.name == "" {
			ck.add(file.field, "", "name a PEM file, or omit tls")
		}
	}
}

// Exposed returns the RPC and API addresses that are not on loopback.
func (c Config) Exposed() []string {
	var exposed []string
	for _, text := range []string{c.RPC, c.API} {
		addr, err := netip.ParseAddrPort(text)
		if err == nil && !addr.Addr().IsLoopback() {
			exposed = append(exposed, text)
		}
	}
	return exposed
}

func (ck *checker) roles(roles []Role) {
	if len(roles) == 0 {
		ck.add("roles", "", `use ["entry"], ["control"] or both`)
	}
	for _, r := range roles {
		ck.oneOf("roles", string(r), string(Entry), string(Control))
	}
}

func (ck *checker) oneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		ck.add(field, value, "use one of "+strings.Join(allowed, ", "))
	}
}
