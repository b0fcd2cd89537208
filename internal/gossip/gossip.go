// Package gossip runs the membership core of package member on a UDP socket. It
// owns the socket, the clock and the goroutines; the core makes all decisions.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/clock"
	"greengagequay/internal/logs"
	"greengagequay/internal/member"
	"greengagequay/internal/metrics"
	"greengagequay/internal/model"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// Options configure a node.
type Options struct {
	Conn    *net.UDPConn
	Key     Key
	Self    model.Host
	Seeds   []string // gossip addresses
	Clock   clock.Clock
	Rand    *rand.Rand
	Metrics *metrics.Registry
	Log     *logs.Component
	Bytes   *atomic.Int64 // counts the bytes sent and received
	// Revision returns the revision of the replicated state on this host.
	Revision func() uint64
	// Leading reports whether this host leads the control hosts and is in
	// contact with a quorum of them.
	Leading func() bool
	// Changed is called for each event, one at a time. It must not call Publish,
	// SendTo, SetLeaving or Leave, which wait until it has returned.
	Changed func(member.Event)
}

// Node is a member of the gossip network. It is safe for concurrent use.
type Node struct {
	Options
	mu         sync.Mutex // guards core and changed
	core       *member.Core
	changed    chan struct{}
	eventMu    sync.Mutex // serializes steps, with their messages and calls of Changed
	invalid    gometrics.Counter
	forged     gometrics.Counter
	sendErrors gometrics.Counter
}

// New returns a node. The caller runs Run and Receive, each in its own goroutine.
func New(o Options) *Node {
	return &Node{
		Options:    o,
		core:       member.New(member.Options{Self: o.Self, Seeds: o.Seeds, Rand: o.Rand}),
		changed:    make(chan struct{}),
		invalid:    o.Metrics.Counter("gossip.invalid"),
		forged:     o.Metrics.Counter("gossip.not_authentic"),
		sendErrors: o.Metrics.Counter("gossip.not_sent"),
	}
}

// Run calls the core's Tick once per member.TickInterval until ctx is done.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, leading := n.Revision(), n.Leading()
		n.runStep(func() member.Output {
			n.core.SetRevision(revision)
			n.core.SetLeading(leading)
			return n.core.Tick(n.Clock.Now())
		})
		select {
		case <-ctx.Done():
		case <-n.Clock.After(member.TickInterval):
		}
	}
}

// Receive reads and handles datagrams until the socket is closed.
func (n *Node) Receive() {
	buf := make([]byte, member.MaxDatagram+codeBytes+1) // one byte more, so that a longer datagram fails its check
	for {
		size, from, err := n.Conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		n.Bytes.Add(int64(size + headerBytes))
		n.handle(buf[:size], from)
	}
}

func (n *Node) handle(data []byte, from netip.AddrPort) {
	data, ok := n.Key.Open(data)
	if !ok {
		n.forged.Inc(1)
		return
	}
	m, err := member.Decode(data)
	if err != nil {
		n.invalid.Inc(1)
		return
	}
	addr := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	n.runStep(func() member.Output { return n.core.Step(n.Clock.Now(), addr, m) })
}

// runStep runs one step of the core, then sends its messages and handles its events.
func (n *Node) runStep(step func() member.Output) {
	n.eventMu.Lock()
	defer n.eventMu.Unlock()
	n.mu.Lock()
	out := step()
	if len(out.Events) > 0 {
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.mu.Unlock()
	for _, p := range out.Send {
		n.send(p)
	}
	for _, e := range out.Events {
		n.handleEvent(e)
	}
}

func (n *Node) send(p member.Packet) {
	data, err := member.Encode(p.Message)
	if err != nil {
		n.Log.Errorf("%v", err)
		return
	}
	to, err := netip.ParseAddrPort(p.To)
	if err != nil {
		n.sendErrors.Inc(1)
		return
	}
	sealed := n.Key.Seal(data)
	if _, err := n.Conn.WriteToUDPAddrPort(sealed, to); err != nil {
		n.sendErrors.Inc(1)
		return
	}
	n.Bytes.Add(int64(len(sealed) + headerBytes))
}

func (n *Node) handleEvent(e member.Event) {
	switch e.Kind {
	case member.HostChanged:
		n.Log.With("zone", e.Host.Zone).Infof("host %s is %s", e.Host.Name, e.Host.State)
	case member.NameTaken:
		n.Log.Errorf("host %s at %s uses the name of this host; give each host a unique name", e.Host.Name, e.Host.Gossip)
	case member.ZoneUnreachable, member.ZoneReachable:
		n.Log.Warnf("%s: %s", e.Kind, e.Zone)
	case member.Paused:
		n.Log.Warnf("this host was paused or its clock jumped forward")
	}
	if n.Changed != nil {
		n.Changed(e)
	}
}

// Hosts returns the known hosts in the order of their names.
func (n *Node) Hosts() []model.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Hosts()
}

// Subscribe returns a channel that is closed at the next event. A change of the
// revision in force on a host is not an event.
func (n *Node) Subscribe() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Lease returns this host's own lease, which lasts as long as the host stays in
// contact with a quorum of the control hosts.
func (n *Node) Lease() member.Lease {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Lease(n.Clock.Now())
}

// LeaseOf returns the lease of a host as counted by this host. It expires only if
// this host leads the control hosts.
func (n *Node) LeaseOf(name string) member.Lease {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.LeaseOf(name)
}

// Publish stores items and sends them to the other hosts.
func (n *Node) Publish(items ...member.Item) {
	if len(items) == 0 {
		return
	}
	n.runStep(func() member.Output {
		for _, i := range items {
			n.core.Publish(i)
		}
		return n.core.Tick(n.Clock.Now())
	})
}

// SendTo sends data to a host once. It does not report failures.
func (n *Node) SendTo(host string, data []byte) {
	n.runStep(func() member.Output { return n.core.SendTo(host, data) })
}

// SetLeaving announces that this host is handing over its work.
func (n *Node) SetLeaving() {
	n.runStep(func() member.Output {
		n.core.SetLeaving()
		return n.core.Tick(n.Clock.Now())
	})
}

// Leave announces that this host shuts down, and stops the core.
func (n *Node) Leave() {
	n.runStep(func() member.Output { return n.core.Leave(n.Clock.Now()) })
}
