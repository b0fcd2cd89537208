package fleet

import (
	"errors"
	"net"
	"net/netip"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/codec"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
)

// invitationTimes are the times after its start at which a control host invites entry
// hosts. Datagrams may be lost, and entry hosts may start later than control hosts.
var invitationTimes = []time.Duration{
	0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// Limits of an invitation that an entry host accepts.
const (
	maxInvitationBytes = 1024
	maxHostNameBytes   = 64
	maxZoneNameBytes   = 255
	maxHostAddrBytes   = 64
	// maxKnownForInvitation is the number of known control hosts from which on an entry
	// host adds none through invitations, since anyone in the network can send these.
	maxKnownForInvitation = 64
)

// invitationDecoder decodes one flat structure. The library allows no lower limits.
var invitationDecoder = codec.NewDecoder(codec.Options{MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4})

// sendInvitations tells the entry hosts of the hint file that this control host is up,
// except those that follow it already. Entry hosts thus need not wait for the seeds.
func (h *ControlHost) sendInvitations() {
	list := h.entryHistory.list()
	if len(list) == 0 {
		return
	}
	message, err := codec.Marshal(h.info)
	if err != nil {
		h.log.Event("invitation", "could not encode the invitation", eventlog.Fields{"error": err.Error()})
		return
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(h.cfg.IP), 0)))
	if err != nil {
		h.log.Event("invitation", "could not open a socket; entry hosts are not invited", eventlog.Fields{"error": err.Error()})
		return
	}
	defer conn.Close()
	sent := h.metrics.Counter("invitations.sent")
	began := time.Now()
	for _, at := range invitationTimes {
		select {
		case <-time.After(time.Until(began.Add(at))):
		case <-h.ctx.Done():
			return
		}
		for _, host := range list {
			if h.entryHosts.isFollower(host.Host.Addr) {
				continue
			}
			addr, err := netip.ParseAddrPort(h.dialAddr(host.Host.Addr))
			if err != nil {
				continue // the file is from a version with other addresses
			}
			if _, err := conn.WriteToUDPAddrPort(message, addr); err == nil { // an error may be about an earlier datagram
				sent.Inc(1)
			}
		}
	}
	h.log.Event("invitation", "invited the known entry hosts", eventlog.Fields{"known": len(list), "sent": sent.Count()})
}

// dialAddr returns the address at which this host reaches an internal address.
func (h *ControlHost) dialAddr(addr string) string {
	if via, ok := h.cfg.Via[addr]; ok {
		return via
	}
	return addr
}

// isFollower reports whether an entry host follows this control host.
func (e *entryHosts) isFollower(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.own[addr]
	return found
}

// invitationCounts counts received invitations.
type invitationCounts struct {
	accepted  gometrics.Counter
	ignored   gometrics.Counter // the host could place flows, or knew too many control hosts
	malformed gometrics.Counter
}

func newInvitationCounts(m *metrics.Registry) invitationCounts {
	return invitationCounts{
		accepted: m.Counter("invitations.accepted"), ignored: m.Counter("invitations.ignored"), malformed: m.Counter("invitations.malformed"),
	}
}

// listenForInvitations receives invitations at the UDP port of the feed address. The
// host runs without them if it cannot bind the port.
func (h *EntryHost) listenForInvitations() {
	addr, err := netip.ParseAddrPort(h.cfg.feedAddr())
	var conn *net.UDPConn
	if err == nil {
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	}
	if err != nil {
		h.log.Event("invitation", "could not listen for invitations; this host depends on its seeds", eventlog.Fields{"error": err.Error()})
		return
	}
	h.invitations = conn
	counts := newInvitationCounts(h.metrics)
	h.done.Go(func() {
		buf := make([]byte, maxInvitationBytes+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				h.receiveInvitation(buf[:n], counts)
			}
		}
	})
}

func (h *EntryHost) receiveInvitation(datagram []byte, counts invitationCounts) {
	from, ok := parseInvitation(datagram)
	switch {
	case !ok:
		counts.malformed.Inc(1)
	case h.placesFlows() || !h.controlHosts.invite(from):
		counts.ignored.Inc(1)
	default:
		counts.accepted.Inc(1)
		h.log.Event("invitation", "a control host invited this host", eventlog.Fields{"from": from.Name, "address": from.Addr})
	}
}

// parseInvitation returns the control host that sent an invitation. It returns false if
// the datagram is none.
func parseInvitation(datagram []byte) (feed.HostInfo, bool) {
	var from feed.HostInfo
	if len(datagram) > maxInvitationBytes || invitationDecoder.Unmarshal(datagram, &from) != nil {
		return feed.HostInfo{}, false
	}
	if !from.Control || from.Name == "" || len(from.Name) > maxHostNameBytes || len(from.Zone) > maxZoneNameBytes || len(from.Addr) > maxHostAddrBytes {
		return feed.HostInfo{}, false
	}
	addr, err := netip.ParseAddrPort(from.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return feed.HostInfo{}, false
	}
	return from, true
}

// invite adds a control host that has said that it is up, and connects to it at once. It
// returns false if too many control hosts are known.
func (c *controlHosts) invite(from feed.HostInfo) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[from.Addr] == nil && len(c.known) >= maxKnownForInvitation {
		return false
	}
	c.recordHost(from, time.Now())
	if h := c.known[from.Addr]; h != nil && h.conn == nil {
		h.failures, h.retryAt = 0, time.Time{}
	}
	c.wakeUp()
	return true
}
