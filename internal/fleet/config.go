// Package fleet assembles the hosts of a deployment whose packets carry tokens:
// entry hosts that steer packets, and control hosts that keep the operator's
// document and the announcements of backend servers. A token is a number in each
// packet of an open flow that names the flow's backend server. Control hosts send
// the document and the records of backend servers (package catalog) over their
// feeds (package feed). Adapter connects the hosts to the formats and calls of a
// platform.
package fleet

import (
	"fmt"
	"math"
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

const (
	Entry   Role = "entry"
	Control Role = "control"
)

// Config holds the settings of one host.
type Config struct {
	Name         string   `json:"name"`
	Role         Role     `json:"role"`
	Zone         string   `json:"zone"`         // availability zone
	IP           string   `json:"ip"`           // IP address of this host
	Packets      string   `json:"packets"`      // on entry hosts: UDP IP:port for packets of callers
	Ready        string   `json:"ready"`        // on entry hosts: TCP IP:port of the readiness check
	API          string   `json:"api"`          // on control hosts: TCP IP:port for operators and announcements
	Internal     []int    `json:"internal"`     // first and last port for connections between hosts; only the first one and the next after it are used
	Metrics      string   `json:"metrics"`      // TCP IP:port of the metrics
	Seeds        []string `json:"seeds"`        // API addresses of control hosts
	FirstStart   bool     `json:"firstStart"`   // whether the whole deployment starts for the first time, with empty disks
	Data         string   `json:"data"`         // on control hosts: data folder
	HeartbeatMs  int      `json:"heartbeatMs"`  // interval between announcements of a backend server
	TolerateLoss int      `json:"tolerateLoss"` // on control hosts: number of control hosts that may be lost at once
	DrainMs      int      `json:"drainMs"`      // on entry hosts: how long a backend server keeps running after it announced that it drains
	StaleMs      int      `json:"staleMs"`      // on entry hosts: time without news of control hosts after which the readiness check fails; 0 for never
	MemoryMB     float64  `json:"memoryMb"`     // memory that the process may use, in megabytes; 0 for no limit
	LinkMbps     float64  `json:"linkMbps"`     // on entry hosts: rate of the host's link in Mbit/s; 0 if it is never a bottleneck
	// Via maps internal IP:port addresses of hosts to the addresses at which this
	// host reaches them. Hosts without an entry are reached at their own address.
	Via    map[string]string `json:"via"`
	GraceS float64           `json:"graceS"` // on entry hosts: seconds from SIGTERM to SIGKILL
	// Contracts names the optional promises of the deployment, in the platform's words;
	// Adapter.Features translates them.
	Contracts []string `json:"contracts"`
	// Zones holds the availability zones of the deployment, as keys; the values are not
	// used.
	Zones map[string]string `json:"zones"`
	// ColdOverage and ColdSlack bound the new flows of a cold backend server, see
	// warmup.Bound. If both are 0, there is no bound.
	ColdOverage float64 `json:"coldOverage"`
	ColdSlack   int     `json:"coldSlack"`
}

// Features are the parts of the product that a deployment's settings switch on.
type Features struct {
	Evacuations bool // operators may evacuate zones; entry hosts place no flow before they know the evacuated zones
	ColdBound   bool // Config.ColdOverage and Config.ColdSlack are in force
	Pace        bool // shares of backend servers follow their answers, zones and priorities follow the load
	FastStart   bool // packets are held at the start, and control hosts invite entry hosts
}

const settingsRemedy = "correct the settings file"

// LoadConfig reads and checks a settings file, which is JSON with comments.
func LoadConfig(path string) (Config, error) {
	f, err := openSettings(path)
	if err != nil {
		return Config{}, err
	}
	return f.cfg, nil
}

func readSettingsError(err error) error {
	return fault.New(fault.Invalid, "give the path of a readable settings file with --config", "read settings: %w", err)
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
	if len(c.Internal) == 0 || c.Internal[0] <= 0 || c.Internal[0] > maxInternalPort {
		return fault.New(fault.Invalid, settingsRemedy, "field \"internal\" does not begin with a port from 1 to %d; the next port is used too", maxInternalPort)
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
	if c.MemoryMB < 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"memoryMb\" is %g, below 0", c.MemoryMB)
	}
	if c.StaleMs < 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"staleMs\" is %d, below 0", c.StaleMs)
	}
	if c.ColdOverage < 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"coldOverage\" is %g, below 0", c.ColdOverage)
	}
	if c.ColdSlack < 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"coldSlack\" is %d, below 0", c.ColdSlack)
	}
	if c.TolerateLoss < 0 {
		return fault.New(fault.Invalid, settingsRemedy, "field \"tolerateLoss\" is %d, below 0", c.TolerateLoss)
	}
	return nil
}

// targetVoters returns the number of voters that the log should have. It is at
// most raft.MaxVoters: each accepted document waits for the disks of a majority
// of the voters.
func (c Config) targetVoters() int { return min(2*c.TolerateLoss+1, raft.MaxVoters) }

// Offsets of ports from the first internal port.
const (
	feedPortOffset  = 0
	logPortOffset   = 1
	maxInternalPort = 65535 - logPortOffset
)

// feedAddrOf returns the address of the feed of the host with the given IP
// address.
func (c Config) feedAddrOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.Internal[0]+feedPortOffset))
}

// feedAddr returns the address of this host's feed.
func (c Config) feedAddr() string { return c.feedAddrOf(c.IP) }

// logAddr returns the address at which a control host serves the replicated log,
// given the address of its feed.
func logAddr(feedAddr string) string {
	addr := netip.MustParseAddrPort(feedAddr)
	return netip.AddrPortFrom(addr.Addr(), addr.Port()+logPortOffset-feedPortOffset).String()
}

// seedFeedAddrs returns the feed addresses of the seeds.
func (c Config) seedFeedAddrs() []string {
	var list []string
	for _, seed := range c.Seeds {
		list = append(list, c.feedAddrOf(netip.MustParseAddrPort(seed).Addr().String()))
	}
	return list
}

// drainFallbackFraction is the fraction of the drain time in which a draining
// backend server may still get new flows if its service has no ready one. The
// rest covers the delay until entry hosts know that it drains.
const drainFallbackFraction = 0.4

// drainFallback returns the value of steering.Config.DrainFallback.
func (c Config) drainFallback() time.Duration {
	return time.Duration(drainFallbackFraction * float64(c.DrainMs) * float64(time.Millisecond))
}

// heapFraction is the fraction of the memory of a process above which it collects
// garbage more often. The rest is for what the runtime does not count, and for what
// is allocated while a collection runs.
const heapFraction = 0.6

// memoryLimit returns the soft limit of memory in bytes, or math.MaxInt64 if there
// is none.
func (c Config) memoryLimit() int64 {
	if c.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(heapFraction * c.MemoryMB * 1e6)
}

// Heartbeat returns the interval between announcements of a backend server.
func (c Config) Heartbeat() time.Duration { return time.Duration(c.HeartbeatMs) * time.Millisecond }

// String describes the host for logs.
func (c Config) String() string { return fmt.Sprintf("%s host %s in %s", c.Role, c.Name, c.Zone) }
