// Package settings implements the tree of settings: typed keys, inheritance and
// checks of the whole tree. It uses no I/O and no clock.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/fault"
)

// Type is the type of a setting's value.
type Type string

// The types of values. All values are written as JSON.
const (
	Int      Type = "int"
	Float    Type = "float"
	Bool     Type = "bool"
	Duration Type = "duration" // a string such as "30s"
	Text     Type = "text"
	TextList Type = "text list"
	AddrList Type = "address list" // strings such as "203.0.113.10:443/tcp"
)

// Level is the depth of a node in the tree.
type Level int

// The levels of the tree: "/", "/service", "/service/zone",
// "/service/zone/backend".
const (
	Root Level = iota
	ServiceLevel
	ZoneLevel
	BackendLevel
)

// Key describes one setting.
type Key struct {
	Name    string
	Type    Type
	Unit    string
	Min     float64 // lowest value; in seconds for a duration
	Max     float64 // highest value; in seconds for a duration
	Default string  // as JSON
	Deepest Level   // deepest level at which the key may be set
	Only    bool    // if true, the key may be set at level Deepest only
	Help    string
}

// Names of the keys.
const (
	ServiceZones       = "service.zones"
	ServiceAddresses   = "service.addresses"
	FlowBuckets        = "flow.buckets"
	FlowIdleTimeout    = "flow.idle_timeout"
	FlowStallTimeout   = "flow.stall_timeout"
	BalanceImbalance   = "balance.imbalance_weight"
	BalanceMoveRate    = "balance.moves_per_second"
	BackendWeight      = "backend.weight"
	BackendSlots       = "backend.slots"
	BackendDrain       = "backend.drain"
	BackendRamp        = "backend.ramp"
	BackendEjectShare  = "backend.eject_share"
	RequestTimeout     = "request.timeout"
	RequestQueue       = "request.queue"
	RequestRate        = "request.customer_rate"
	RequestConcurrency = "request.customer_concurrency"
	RequestRetryShare  = "request.retry_share"
	RequestRetention   = "request.key_retention"
	RequestBodyBuffer  = "request.body_buffer"
)

var keys = []Key{
	{Name: ServiceZones, Type: TextList, Default: `[]`, Deepest: ServiceLevel, Only: true, Help: "availability zones the service runs in; a service exists where this is set"},
	{Name: ServiceAddresses, Type: AddrList, Default: `[]`, Deepest: ServiceLevel, Only: true, Help: "addresses of the service as the fabric delivers them, IP:port/tcp or IP:port/udp"},
	{Name: FlowBuckets, Type: Int, Unit: "buckets", Min: 16, Max: 65536, Default: `256`, Deepest: ServiceLevel, Help: "number of buckets, a power of two; fixed once the service exists"},
	{Name: FlowIdleTimeout, Type: Duration, Min: 1, Max: 86400, Default: `"4h"`, Deepest: ServiceLevel, Help: "a flow without packets for this long is forgotten"},
	{Name: FlowStallTimeout, Type: Duration, Min: 1, Max: 3600, Default: `"20s"`, Deepest: ServiceLevel, Help: "a flow whose client repeats itself without progress for this long is reset"},
	{Name: BalanceImbalance, Type: Float, Min: 0, Max: 1, Default: `0.5`, Deepest: ServiceLevel, Help: "weight of imbalance against broken flows, 0 never moves a bucket for load"},
	{Name: BalanceMoveRate, Type: Float, Unit: "buckets/s", Min: 0.01, Max: 10000, Default: `200`, Deepest: ServiceLevel, Help: "most buckets that start to move per second"},
	{Name: BackendWeight, Type: Int, Min: 0, Max: 100000, Default: `100`, Deepest: BackendLevel, Help: "relative share of flows and requests"},
	{Name: BackendSlots, Type: Int, Unit: "requests", Min: 1, Max: 100000, Default: `3`, Deepest: BackendLevel, Help: "requests that may run at once, unless the backend server announces its own"},
	{Name: BackendDrain, Type: Bool, Default: `false`, Deepest: BackendLevel, Help: "true takes new work away, as if the backend server announced that it drains"},
	{Name: BackendRamp, Type: Duration, Min: 0, Max: 3600, Default: `"0s"`, Deepest: BackendLevel, Help: "time over which a backend server that becomes ready grows to its full weight"},
	{Name: BackendEjectShare, Type: Float, Min: 0, Max: 1, Default: `0.3`, Deepest: ServiceLevel, Help: "largest share of a service's backend servers that health alone may take out"},
	{Name: RequestTimeout, Type: Duration, Min: 0.001, Max: 86400, Default: `"30s"`, Deepest: ServiceLevel, Help: "deadline of a request that names none"},
	{Name: RequestQueue, Type: Int, Unit: "requests", Min: 0, Max: 100000, Default: `8`, Deepest: BackendLevel, Help: "requests that may wait for a slot of one backend server"},
	{Name: RequestRate, Type: Float, Unit: "requests/s", Min: 0, Max: 1e6, Default: `0`, Deepest: ServiceLevel, Help: "most requests per second and customer on one entry host, 0 is unlimited"},
	{Name: RequestConcurrency, Type: Int, Unit: "requests", Min: 0, Max: 1e6, Default: `0`, Deepest: ServiceLevel, Help: "most requests in progress per customer on one entry host, 0 is unlimited"},
	{Name: RequestRetryShare, Type: Float, Min: 0, Max: 1, Default: `0.1`, Deepest: ServiceLevel, Help: "retries as a share of requests"},
	{Name: RequestRetention, Type: Duration, Min: 1, Max: 604800, Default: `"15m"`, Deepest: ServiceLevel, Help: "how long the answer to a request with a key is kept"},
	{Name: RequestBodyBuffer, Type: Int, Unit: "bytes", Min: 4096, Max: 16777216, Default: `65536`, Deepest: ServiceLevel, Help: "memory for one body that is in progress"},
}

// Keys returns all keys, grouped by the first part of their names.
func Keys() []Key { return slices.Clone(keys) }

// Lookup returns the key with the given name.
func Lookup(name string) (Key, error) {
	for _, k := range keys {
		if k.Name == name {
			return k, nil
		}
	}
	return Key{}, fault.New(fault.Invalid, "see 'quayctl settings keys' for all keys", "setting key %q does not exist", name)
}

// Check returns an error unless raw is a valid value of the key.
func (k Key) Check(raw string) error {
	switch k.Type {
	case Int:
		var v int64
		return k.checkNumber(raw, json.Unmarshal([]byte(raw), &v), float64(v))
	case Float:
		var v float64
		return k.checkNumber(raw, json.Unmarshal([]byte(raw), &v), v)
	case Bool:
		var v bool
		return k.checkParsed(raw, json.Unmarshal([]byte(raw), &v), "true or false")
	case Duration:
		d, err := parseDuration(raw)
		return k.checkNumber(raw, err, d.Seconds())
	case Text:
		var v string
		return k.checkParsed(raw, json.Unmarshal([]byte(raw), &v), "a JSON string")
	case TextList:
		var v []string
		return k.checkParsed(raw, json.Unmarshal([]byte(raw), &v), "a JSON list of strings")
	case AddrList:
		return k.checkAddrs(raw)
	}
	return fault.New(fault.Internal, "report a defect", "setting %q has unknown type %q", k.Name, k.Type)
}

// checkNumber returns an error if the value could not be parsed or is out of
// range. err is the error of parsing it.
func (k Key) checkNumber(raw string, err error, v float64) error {
	if err != nil {
		return k.checkParsed(raw, err, "a value of type "+string(k.Type))
	}
	if v < k.Min || v > k.Max {
		return fault.New(fault.Invalid, fmt.Sprintf("use a value from %g to %g %s", k.Min, k.Max, k.rangeUnit()), "setting %q: value %s is out of range", k.Name, raw)
	}
	return nil
}

// rangeUnit returns the unit of Min and Max.
func (k Key) rangeUnit() string {
	if k.Type == Duration {
		return "seconds"
	}
	return k.Unit
}

// checkParsed returns an error if the value could not be parsed. err is the error
// of parsing it, want describes a valid value.
func (k Key) checkParsed(raw string, err error, want string) error {
	if err == nil {
		return nil
	}
	return fault.New(fault.Invalid, "use "+want, "setting %q: value %s is malformed", k.Name, raw)
}

func (k Key) checkAddrs(raw string) error {
	var v []string
	if err := json.Unmarshal([]byte(raw), &v); err != nil {
		return k.checkParsed(raw, err, "a JSON list of strings")
	}
	for _, s := range v {
		if _, err := ParseAddress(s); err != nil {
			return fault.New(fault.Invalid, `write the address like "203.0.113.10:443/tcp"`, "setting %q: address %q is malformed", k.Name, s)
		}
	}
	return nil
}

// Address is an address of a service.
type Address struct {
	AddrPort netip.AddrPort
	UDP      bool // if false, the protocol is TCP
}

// ParseAddress parses an address such as "203.0.113.10:443/tcp".
func ParseAddress(s string) (Address, error) {
	addr, proto, ok := strings.Cut(s, "/")
	if !ok || (proto != "tcp" && proto != "udp") {
		return Address{}, fmt.Errorf("address %q does not end in /tcp or /udp", s)
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Address{}, fmt.Errorf("parse address %q: %w", s, err)
	}
	return Address{AddrPort: ap, UDP: proto == "udp"}, nil
}

func parseDuration(raw string) (time.Duration, error) {
	var s string
	if err := json.Unmarshal([]byte(raw), &s); err != nil {
		return 0, err
	}
	return time.ParseDuration(s)
}
