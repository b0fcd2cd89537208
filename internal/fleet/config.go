// Package fleet assembles the hosts of a deployment whose packets carry tokens:
// entry hosts that steer packets, and control hosts that keep the operator's
// document and the announcements of backend servers. The outside is met
// through the interfaces in wire.go.
package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/jsonc"
	"greengagequay/internal/raft"
)

// Role is what a host does.
type Role string

// The roles.
const (
	Entry   Role = "entry"
	Control Role = "control"
)

// Config holds the settings of one host.
type Config struct {
	Name         string   `json:"name"`
	Role         Role     `json:"role"`
	Zone         string   `json:"zone"`         // availability zone
	IP           string   `json:"ip"`           // of this host
	Packets      string   `json:"packets"`      // UDP IP:port for packets of callers, entry
	Ready        string   `json:"ready"`        // TCP IP:port for the readiness check, entry
	API          string   `json:"api"`          // TCP IP:port for operators and announcements, control
	Internal     []int    `json:"internal"`     // first and last port between hosts
	Metrics      string   `json:"metrics"`      // TCP IP:port for metrics
	Seeds        []string `json:"seeds"`        // API addresses of control hosts
	FirstStart   bool     `json:"firstStart"`   // of the whole deployment, with empty disks
	Data         string   `json:"data"`         // data folder, control
	HeartbeatMs  int      `json:"heartbeatMs"`  // between announcements of a backend server
	TolerateLoss int      `json:"tolerateLoss"` // control hosts that may be lost at once
	DrainMs      int      `json:"drainMs"`      // for which a backend server goes on after it was heard to drain
	LinkMbps     float64  `json:"linkMbps"`     // of the host's link, in Mbit/s; 0 if it never binds
	// Via names the addresses through which other hosts are reached where their
	// own do not lead to them, by internal IP:port.
	Via    map[string]string `json:"via"`
	GraceS float64           `json:"graceS"` // seconds from SIGTERM to SIGKILL
}

const settingsRemedy = "correct the settings file"

// LoadConfig reads a settings file: JSON with comments.
func LoadConfig(path string) (Config, error) {
	f, err := openSettings(path)
	if err != nil {
		return Config{}, err
	}
	return f.cfg, nil
}

func settingsUnreadable(err error) error {
	return fault.New(fault.Invalid, "give the path of the settings with --config", "read settings: %w", err)
}

// ParseConfig parses and checks settings.
func ParseConfig(data []byte) (Config, error) {
	var c Config
	if err := jsonc.Decode(data, &c); err != nil {
		return Config{}, fault.New(fault.Invalid, settingsRemedy, "parse settings: %w", err)
	}
	if err := c.check(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func (c Config) check() error {
	if c.Name == "" {
		return fault.New(fault.Invalid, settingsRemedy, "field \"name\" is empty")
	}
	if _, err := netip.ParseAddr(c.IP); err != nil {
		return fault.New(fault.Invalid, settingsRemedy, "field \"ip\": %w", err)
	}
	if len(c.Internal) == 0 || c.Internal[0] <= 0 || c.Internal[0] > 65535 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"internal\" names no port from 1 to 65535")
	}
	needed := map[string]string{"metrics": c.Metrics}
	switch c.Role {
	case Entry:
		needed["packets"], needed["ready"] = c.Packets, c.Ready
	case Control:
		needed["api"] = c.API
	default:
		return fault.New(fault.Invalid, settingsRemedy, "field \"role\" is %q, not %q or %q", c.Role, Entry, Control)
	}
	if c.Role == Control && c.Data == "" {
		return fault.New(fault.Invalid, settingsRemedy, "field \"data\" is empty on a control host")
	}
	for name, address := range needed {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fault.New(fault.Invalid, settingsRemedy, "field %q: %w", name, err)
		}
	}
	for i, seed := range c.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fault.New(fault.Invalid, settingsRemedy, "field \"seeds\", item %d: %w", i, err)
		}
	}
	if c.HeartbeatMs <= 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"heartbeatMs\" is %d, not above 0", c.HeartbeatMs)
	}
	if c.TolerateLoss < 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"tolerateLoss\" is %d, below 0", c.TolerateLoss)
	}
	return nil
}

// voters returns the wanted number of voters. More than the log can have are of
// no use: each accepted document would wait for more disks.
func (c Config) voters() int { return min(2*c.TolerateLoss+1, raft.MaxVoters) }

// The ports between hosts, counted from the first of the range.
const (
	feedPort = 0
	logPort  = 1
)

// internalAddr returns the address of a host's feed.
func (c Config) internalAddr(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.Internal[0]+feedPort))
}

// feedAddr returns the address of this host's feed.
func (c Config) feedAddr() string { return c.internalAddr(c.IP) }

// logAddr returns the address of a control host's part of the log, from the
// address of its feed.
func logAddr(feedAddr string) string {
	addr := netip.MustParseAddrPort(feedAddr)
	return netip.AddrPortFrom(addr.Addr(), addr.Port()+logPort-feedPort).String()
}

// seedFeeds returns the feed addresses of the seeds.
func (c Config) seedFeeds() []string {
	var list []string
	for _, seed := range c.Seeds {
		list = append(list, c.internalAddr(netip.MustParseAddrPort(seed).Addr().String()))
	}
	return list
}

// drainUsePart is the part of the time for which a backend server goes on that
// new flows may use; the rest is for news on their way.
const drainUsePart = 0.4

func (c Config) drainUse() time.Duration {
	return time.Duration(drainUsePart * float64(c.DrainMs) * float64(time.Millisecond))
}

// Heartbeat returns the interval between announcements of a backend server.
func (c Config) Heartbeat() time.Duration { return time.Duration(c.HeartbeatMs) * time.Millisecond }

// String names the host for logs.
func (c Config) String() string { return fmt.Sprintf("%s host %s in %s", c.Role, c.Name, c.Zone) }
