package fleet

import (
	"errors"
	"net"
	"net/netip"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/pacing"
	"greengagequay/internal/steering"
)

// packetCounts counts packets by what was done with them.
type packetCounts struct {
	byReason  map[steering.Reason]gometrics.Counter
	malformed gometrics.Counter
	opened    gometrics.Histogram // milliseconds from the first opening packet to the next one of the flow
}

func newPacketCounts(m *metrics.Registry) packetCounts {
	c := packetCounts{
		byReason:  map[steering.Reason]gometrics.Counter{},
		malformed: m.Counter("packets.malformed"),
		opened:    m.Timing("flows.open_ms"),
	}
	for _, r := range steering.Reasons() {
		c.byReason[r] = m.Counter("packets." + r.String())
	}
	return c
}

// servePackets reads packets and does what the steerer decides, until the host
// stops.
func (h *EntryHost) servePackets() {
	buf := make([]byte, TargetBytes+maxDatagramBytes)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf[TargetBytes:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of an earlier datagram that could not be delivered
		}
		h.steer(buf[:TargetBytes+n])
	}
}

// steer handles one datagram. The bytes before it are free for the target.
func (h *EntryHost) steer(buf []byte) {
	datagram := buf[TargetBytes:]
	packet, err := h.format.Parse(datagram)
	if err != nil {
		h.counts.malformed.Inc(1)
		h.log.Event("malformed", "dropped a packet", eventlog.Fields{"error": err.Error()})
		return
	}
	h.mu.Lock()
	d := h.steerer.Decide(h.now(), packet)
	table, age := h.steerer.Table(), h.now()-h.heardAt
	h.mu.Unlock()
	h.counts.byReason[d.Reason].Inc(1)
	if d.Opened > 0 {
		h.counts.opened.Update(d.Opened.Milliseconds())
	}
	if d.Unanswered != nil {
		h.tellSuspicion(d.Unanswered)
	}
	h.logDecision(datagram, packet, d, inputs{version: table.Version, age: age})
	switch d.Verdict {
	case steering.Forward:
		h.forward(buf, packet, d, table)
	case steering.Refuse:
		h.refuse(datagram, packet)
	}
}

// tellSuspicion tells the followed control hosts that a backend server left an
// opening packet without an answer.
func (h *EntryHost) tellSuspicion(server *steering.Server) {
	h.log.Event("suspect", "a backend server left an opening packet without an answer", eventlog.Fields{
		"backend": server.ID, "born": server.Born, "status": server.Status.String(), "sequence": server.Sequence,
	})
	h.links.report(feed.Report{Suspects: []feed.Suspect{{ID: server.ID, Born: server.Born}}})
}

// largeData is the data, in bytes, from which on a packet is one of many.
const largeData = 1000

func (h *EntryHost) forward(buf []byte, p steering.Packet, d steering.Decision, table *steering.Table) {
	if p.Opening {
		h.format.SetToken(buf[TargetBytes:], d.Server.Token)
	}
	h.format.PutTarget(buf[:TargetBytes], d.Server.ID)
	if !h.sender.paced() {
		h.sender.send(buf, d.Server.Address)
		return
	}
	h.sender.offer(&pacing.Packet{
		Flow: p.Flow(), Sequence: p.Sequence, Data: p.Data, Small: p.Data < largeData,
		Deadline: h.now() + table.Aim(p.Route), Datagram: buf, To: d.Server.Address,
	})
}

// refuse resets a flow. Callers are reached at the port of the host's own
// packet address.
func (h *EntryHost) refuse(datagram []byte, p steering.Packet) {
	port := uint16(h.conn.LocalAddr().(*net.UDPAddr).Port)
	h.sender.send(h.format.AppendReset(nil, datagram), netip.AddrPortFrom(p.Caller.Addr(), port))
}

// inputs are what a decision was based on, besides the packet.
type inputs struct {
	version uint64        // of the document
	age     time.Duration // since a control host last said anything
}

// logDecision writes a line for each decision that places, refuses or drops. A
// packet of an open flow only gets one if a request starts in it.
func (h *EntryHost) logDecision(datagram []byte, p steering.Packet, d steering.Decision, in inputs) {
	request := ""
	if d.Reason == steering.ByToken {
		if request = h.format.RequestID(datagram); request == "" {
			return
		}
	}
	if !h.log.Allow(d.Reason.String()) {
		return
	}
	fields := eventlog.Fields{
		"caller": p.Caller, "route": p.Route, "verdict": d.Verdict.String(),
		"version": in.version, "feed_age_ms": in.age.Milliseconds(),
	}
	if p.Opening {
		fields["copy"] = p.Copy
	}
	if d.Service != "" {
		fields["service"] = d.Service
	}
	if request != "" {
		fields["request"] = request
	}
	if d.Server != nil {
		fields["backend"], fields["status"], fields["sequence"] = d.Server.ID, d.Server.Status.String(), d.Server.Sequence
	}
	h.log.Write(d.Reason.String(), "steered a packet", fields)
}
