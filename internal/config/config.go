// Package config reads the settings of a process: JSON with comments, parsed
// once into checked types. All errors are reported together.
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

// Role is a part that a process plays.
type Role string

// The roles.
const (
	Entry   Role = "entry"   // takes packets, connections and requests of callers
	Control Role = "control" // holds the replicated log
)

// Config holds the settings of one process.
type Config struct {
	Name          string            `json:"name"`          // unique name of the host
	Zone          string            `json:"zone"`          // availability zone
	Roles         []Role            `json:"roles"`         // entry, control or both
	Data          string            `json:"data"`          // data folder, needed by control
	RPC           string            `json:"rpc"`           // TCP IP:port for calls between hosts
	Gossip        string            `json:"gossip"`        // UDP IP:port for gossip between hosts
	API           string            `json:"api"`           // TCP IP:port for operators, announcements and metrics
	Packets       string            `json:"packets"`       // UDP IP:port for packets from the fabric
	Relay         string            `json:"relay"`         // UDP IP:port for packets from other entry hosts
	Requests      string            `json:"requests"`      // TCP IP:port for HTTP requests of callers
	Listeners     map[string]string `json:"listeners"`     // TCP IP:port for plain connections, by service
	Control       []Peer            `json:"control"`       // the control hosts
	Bootstrap     bool              `json:"bootstrap"`     // the first control host starts a new log with all of them
	Seeds         []string          `json:"seeds"`         // gossip addresses of hosts to join through
	TLS           access.Files      `json:"tls"`           // certificates for RPC (mutual) and API; empty is plain
	GossipKeyFile string            `json:"gossipKeyFile"` // file of the key that all hosts authenticate gossip with; empty authenticates nothing
	Tokens        string            `json:"tokens"`        // file of API tokens; empty lets everyone in
	Log           Log               `json:"log"`
}

// Peer is another host.
type Peer struct {
	Name string `json:"name"`
	RPC  string `json:"rpc"`
}

// Log holds the settings of the log output.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// Has reports whether the process plays the role.
func (c Config) Has(r Role) bool { return slices.Contains(c.Roles, r) }

// Load reads and checks the file at path.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fault.New(fault.Invalid, "check the --config flag", "read settings: %w", err)
	}
	return Parse(data)
}

// Parse parses and checks settings.
func Parse(data []byte) (Config, error) {
	c := Config{Log: Log{Level: "info", Format: "text"}}
	if err := jsonc.Decode(data, &c); err != nil {
		return Config{}, fault.New(fault.Invalid, "mend the field; docs/operators/install.md lists all fields", "parse settings: %w", err)
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
		ck.add("control", "", "name one control host or more")
	}
	if c.Has(Control) && c.Data == "" {
		ck.add("data", "", "name a folder on a disk; a control host needs one")
	}
	ck.tls(c.TLS)
	ck.oneOf("log.level", c.Log.Level, "debug", "info", "warn", "error")
	ck.oneOf("log.format", c.Log.Format, "text", "json")
	return errors.Join(ck.errs...)
}

// checker collects the errors of all fields.
type checker struct{ errs []error }

func (ck *checker) add(field, value, remedy string) {
	ck.errs = append(ck.errs, fault.New(fault.Invalid, remedy, "settings field %q has value %q", field, value))
}

func (ck *checker) name(field, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		ck.add(field, value, "use a name without spaces and slashes")
	}
}

func (ck *checker) addr(field, value string, needed bool) {
	if value == "" && !needed {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		ck.add(field, value, `use IP:port, such as "127.0.0.1:7100"`)
	}
}

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
			ck.add(file.field, "", "name a PEM file, or leave all of tls out")
		}
	}
}

// Exposed returns the addresses of RPC and API that other machines can reach.
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
