package fleet

import (
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/state"
)

var (
	_ feed.Source = (*ControlHost)(nil)
	_ feed.Sink   = (*ControlHost)(nil)
)

// Next returns what a follower lacks.
func (h *ControlHost) Next(to feed.Presence, after feed.Cursor) (feed.Update, feed.Cursor, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := feed.Cursor{
		Revision: h.catalog.Revision(), Version: h.version, Peers: h.peersRev, Current: h.current, Started: true,
		Suspects: h.suspects.revision,
	}
	if next == after {
		return feed.Update{}, after, false
	}
	u := feed.Update{Current: h.current}
	if !after.Started {
		u.From = h.presence
	}
	if next.Revision != after.Revision {
		u.Records = h.catalog.Since(after.Revision, to.Addr)
	}
	if next.Peers != after.Peers || !after.Started {
		for _, p := range h.peers {
			u.Peers = append(u.Peers, p)
		}
	}
	if to.Control {
		return u, next, true
	}
	if after.Started {
		u.Suspects = h.suspects.since(after.Suspects, to.Addr)
	}
	if next.Version != after.Version {
		u.Document = h.outgoing()
	}
	return u, next, true
}

// outgoing returns the document without its source, which followers do not
// need.
func (h *ControlHost) outgoing() *document.Document {
	var d *document.Document
	h.replica.Read(func(s *state.State) {
		if s.Document != nil {
			short := *s.Document
			short.Source = nil
			d = &short
		}
	})
	return d
}

// Changed returns a channel that is closed at the next news.
func (h *ControlHost) Changed() <-chan struct{} { return h.news.wait() }

// Followed notes a follower.
func (h *ControlHost) Followed(by feed.Presence, connected bool) {
	if by.Control && connected {
		h.links.met(by)
	}
	h.log.Event("follower", "a follower came or went", eventlog.Fields{
		"follower": by.Name, "address": by.Addr, "control": by.Control, "connected": connected,
	})
}

// Reported takes what an entry host has seen, for the others.
func (h *ControlHost) Reported(by feed.Presence, r feed.Report) {
	h.mu.Lock()
	h.suspects.add(by.Addr, r.Suspects)
	h.mu.Unlock()
	h.news.send()
}

// Connected notes a followed control host.
func (h *ControlHost) Connected(addr string, connected bool) {
	h.mu.Lock()
	h.catalog.SetConnected(h.now(), addr, connected)
	if !connected {
		delete(h.peers, addr)
		h.peersRev++
	}
	h.mu.Unlock()
	h.log.Event("peer", "a control host came in touch or went out of it", eventlog.Fields{"address": addr, "connected": connected})
	h.news.send()
}

// Updated takes what another control host tells.
func (h *ControlHost) Updated(addr string, u feed.Update) {
	h.links.told(addr, u)
	h.mu.Lock()
	changed := h.catalog.Merge(h.now(), addr, u.Records)
	if u.From.Addr != "" {
		h.peers[addr] = u.From
		h.peersRev++
		changed = true
	}
	h.mu.Unlock()
	if changed {
		h.news.send()
	}
}

// watchReplica tells followers about each new document.
func (h *ControlHost) watchReplica() {
	for {
		changed := h.replica.Changed()
		version := h.documentVersion()
		h.mu.Lock()
		news := version != h.version
		h.version = version
		h.mu.Unlock()
		if news {
			h.log.Event("version", "a document is in force", eventlog.Fields{"version": version})
			h.news.send()
		}
		select {
		case <-changed:
		case <-h.ctx.Done():
			return
		}
	}
}

// loop does what is due from time to time.
func (h *ControlHost) loop() {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		h.links.dial(allOf)
		h.tick()
		h.manageMembers()
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// allOf wants all known hosts: control hosts follow each other.
func allOf(known []*knownHost) map[string]bool {
	want := map[string]bool{}
	for _, k := range known {
		want[k.addr] = true
	}
	return want
}

func (h *ControlHost) tick() {
	current := h.host.Status().Current
	h.mu.Lock()
	changed := h.catalog.Tick(h.now()) || current != h.current
	turned := current != h.current
	h.current = current
	var records []catalog.Record
	revision := h.catalog.Revision()
	hintDue := h.hint.due(revision)
	if hintDue {
		records = h.catalog.Since(0, "")
	}
	h.mu.Unlock()
	if hintDue {
		h.hint.save(revision, records)
	}
	if turned {
		h.log.Event("quorum", "contact with a quorum of control hosts changed", eventlog.Fields{"current": current})
	}
	if changed {
		h.news.send()
	}
}
