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

// packetCounts counts packets by the reason of their decision.
type packetCounts struct {
	byReason  map[steering.Reason]gometrics.Counter
	malformed gometrics.Counter
	opened    gometrics.Histogram // milliseconds from the first opening packet of a flow to its first packet that is not an opening one
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

// servePackets reads and handles packets until the host stops.
func (h *EntryHost) servePackets() {
	buf := make([]byte, TargetBytes+maxDatagramBytes)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf[TargetBytes:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the error is about an earlier datagram that could not be delivered
		}
		h.handleDatagram(buf[:TargetBytes+n])
	}
}

// handleDatagram applies the steerer's decision to one datagram. The datagram
// begins after TargetBytes bytes of buf, which are free for the target.
func (h *EntryHost) handleDatagram(buf []byte) {
	datagram := buf[TargetBytes:]
	packet, err := h.format.Parse(datagram)
	if err != nil {
		h.counts.malformed.Inc(1)
		h.log.Event("malformed", "dropped a malformed packet", eventlog.Fields{"error": err.Error()})
		return
	}
	h.mu.Lock()
	now := h.now()
	h.recordAlive(now)
	packet.Delayed = packet.Opening && h.pauses.mayHaveWaited(now)
	d := h.steerer.Decide(now, packet)
	h.recordMissing(now, d)
	in := h.decisionInputs(now)
	held := h.hold(now, packet, d, buf)
	if !held {
		h.flows.observe(now, packet, d)
	}
	h.mu.Unlock()
	if !held {
		h.apply(buf, packet, d, in)
	}
}

// apply carries out a decision about the datagram that begins after TargetBytes bytes
// of buf.
func (h *EntryHost) apply(buf []byte, packet steering.Packet, d steering.Decision, in decisionInputs) {
	datagram := buf[TargetBytes:]
	h.counts.byReason[d.Reason].Inc(1)
	if d.Opened > 0 {
		h.counts.opened.Update(d.Opened.Milliseconds())
	}
	if d.Unanswered != nil {
		h.reportSuspect(d.Unanswered)
	}
	h.logDecision(datagram, packet, d, in)
	switch d.Verdict {
	case steering.Forward:
		h.forward(buf, packet, d, in.table)
	case steering.Refuse:
		h.sendReset(datagram, packet)
	}
}

// reportSuspect reports to the followed control hosts that a backend server left
// an opening packet unanswered.
func (h *EntryHost) reportSuspect(server *steering.Server) {
	h.log.Event("suspect", "a backend server left an opening packet unanswered", eventlog.Fields{
		"backend": server.ID, "born": server.Born, "status": server.Status.String(), "sequence": server.Sequence,
	})
	h.controlHosts.sendReport(feed.Report{Suspects: []feed.Suspect{{ID: server.ID, Born: server.Born}}})
}

// largeDataBytes is the least number of data bytes in a packet that likely
// belongs to an upload of many packets.
const largeDataBytes = 1000

// forward sends a packet to the backend server of the decision. It writes the
// token of that server into an opening packet.
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
		Flow: p.Flow(), Sequence: p.Sequence, Data: p.Data, Small: p.Data < largeDataBytes,
		Deadline: h.now() + table.Aim(p.Route), Datagram: buf, To: d.Server.Address,
	})
}

// sendReset resets a flow.
func (h *EntryHost) sendReset(datagram []byte, p steering.Packet) {
	h.sender.send(h.format.AppendReset(nil, datagram), h.callerAddr(p.Caller))
}

// callerAddr returns the address at which a caller receives packets: its port is that of
// this host.
func (h *EntryHost) callerAddr(caller netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(caller.Addr(), uint16(h.conn.LocalAddr().(*net.UDPAddr).Port))
}

// decisionInputs holds what a decision was based on, besides the packet.
type decisionInputs struct {
	table *steering.Table
	age   time.Duration // time since the last update from a control host
	held  time.Duration // for which the packet waited until this host could place flows
}

// decisionInputs returns the inputs of a decision. The caller holds mu.
func (h *EntryHost) decisionInputs(now time.Duration) decisionInputs {
	return decisionInputs{table: h.steerer.Table(), age: now - h.lastUpdateAt}
}

// logDecision logs a decision if the log's budget allows it. A packet that is
// forwarded by its token is logged only if a request starts in it.
func (h *EntryHost) logDecision(datagram []byte, p steering.Packet, d steering.Decision, in decisionInputs) {
	request := ""
	if d.Reason == steering.ByToken {
		if request = h.format.RequestID(datagram); request == "" {
			return
		}
	}
	if !h.log.Allow(d.Reason.String()) {
		return
	}
	fields := packetFields(p, d, in)
	if request != "" {
		fields["request"] = request
	}
	h.log.Write(d.Reason.String(), "steered a packet", fields)
}

// packetFields returns the fields of the line about a decision.
func packetFields(p steering.Packet, d steering.Decision, in decisionInputs) eventlog.Fields {
	fields := eventlog.Fields{
		"caller": p.Caller, "route": p.Route, "verdict": d.Verdict.String(),
		"version": in.table.Version, "feed_age_ms": in.age.Milliseconds(),
	}
	if p.Opening {
		fields["copy"] = p.Copy
	}
	if p.Delayed {
		fields["after_pause"] = true
	}
	if in.held > 0 {
		fields["held_ms"] = in.held.Milliseconds()
	}
	if d.Service != "" {
		fields["service"] = d.Service
	}
	if d.Server != nil {
		fields["backend"], fields["status"], fields["sequence"] = d.Server.ID, d.Server.Status.String(), d.Server.Sequence
	}
	return fields
}
