package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
)

// maxKnownEntryHosts limits the entry hosts that a control host remembers and, after a
// start, invites.
const maxKnownEntryHosts = 4096

// knownEntryHost is an entry host that follows or followed a control host.
type knownEntryHost struct {
	Host     feed.HostInfo
	LastSeen int64 // when a control host last reported it as a follower or lost it, in Unix seconds
}

// entryHostHistory holds the entry hosts that were in contact with any control host
// last. It is safe for concurrent use.
type entryHostHistory struct {
	mu       sync.Mutex
	revision uint64 // increases when the list changes
	byAddr   map[string]knownEntryHost
}

func newEntryHostHistory() *entryHostHistory {
	return &entryHostHistory{byAddr: map[string]knownEntryHost{}}
}

// record records contact with entry hosts.
func (e *entryHostHistory) record(at time.Time, hosts ...feed.HostInfo) {
	list := make([]knownEntryHost, len(hosts))
	for i, host := range hosts {
		list[i] = knownEntryHost{Host: host, LastSeen: at.Unix()}
	}
	e.add(list)
}

// add adds entry hosts, and then removes those with the earliest contact that exceed
// maxKnownEntryHosts.
func (e *entryHostHistory) add(list []knownEntryHost) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, host := range list {
		known, found := e.byAddr[host.Host.Addr]
		if !found || known.Host != host.Host {
			e.revision++
		}
		host.LastSeen = max(host.LastSeen, known.LastSeen)
		e.byAddr[host.Host.Addr] = host
	}
	if extra := len(e.byAddr) - maxKnownEntryHosts; extra > 0 {
		byAge := slices.SortedFunc(maps.Values(e.byAddr), func(a, b knownEntryHost) int { return cmp.Compare(a.LastSeen, b.LastSeen) })
		for _, host := range byAge[:extra] {
			delete(e.byAddr, host.Host.Addr)
		}
	}
}

// latestRevision returns a number that increases when the list changes. A change of
// LastSeen alone does not count.
func (e *entryHostHistory) latestRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// list returns all entry hosts in no particular order.
func (e *entryHostHistory) list() []knownEntryHost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.byAddr))
}

// loadEntriesHint adds the entry hosts of the hint file to the history.
func (h *ControlHost) loadEntriesHint() {
	list, err := h.entriesHint.load()
	if err != nil {
		h.log.Event("hint", "could not load the hint file; entry hosts are not invited", eventlog.Fields{"error": err.Error()})
		return
	}
	h.entryHistory.add(list)
	h.log.Event("hint", "loaded known entry hosts from the hint file", eventlog.Fields{"entry_hosts": len(list)})
}

// saveEntriesHint saves the known entry hosts if that is due.
func (h *ControlHost) saveEntriesHint() {
	if !h.features.FastStart {
		return
	}
	// Hosts that follow for long are among the latest ones, although their record was
	// made when they connected.
	if revision := h.entryHistory.latestRevision(); h.entriesHint.due(revision) {
		h.entryHistory.record(time.Now(), h.entryHosts.all()...)
		h.entriesHint.save(revision, h.entryHistory.list())
	}
}

// recordEntryHosts records contact with entry hosts.
func (h *ControlHost) recordEntryHosts(hosts ...feed.HostInfo) {
	if h.features.FastStart {
		h.entryHistory.record(time.Now(), hosts...)
	}
}
