package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"greengagequay/internal/feed"
)

// entryHosts holds the entry hosts that follow this control host, and those that follow
// other control hosts, as these report them. It is safe for concurrent use.
type entryHosts struct {
	mu          sync.Mutex
	revision    uint64                     // increases when own changes
	own         map[string]feed.HostInfo   // those that follow this control host, by feed address
	connections map[string]int             // open connections of each of them
	remote      map[string][]feed.HostInfo // those that follow another control host, by its feed address
}

func newEntryHosts() *entryHosts {
	return &entryHosts{own: map[string]feed.HostInfo{}, connections: map[string]int{}, remote: map[string][]feed.HostInfo{}}
}

// followerChanged records that an entry host opened or lost a connection to this
// control host. It reports whether the entry host was added or removed. One that
// connects anew may still have its former connection.
func (e *entryHosts) followerChanged(host feed.HostInfo, connected bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if connected {
		e.connections[host.Addr]++
	} else {
		e.connections[host.Addr]--
	}
	_, known := e.own[host.Addr]
	switch {
	case connected && !known:
		e.own[host.Addr] = host
	case !connected && e.connections[host.Addr] <= 0:
		delete(e.own, host.Addr)
		delete(e.connections, host.Addr)
	default:
		return false
	}
	e.revision++
	return true
}

// setRemote records the entry hosts that follow the control host at addr, nil if that
// control host is not connected.
func (e *entryHosts) setRemote(addr string, list []feed.HostInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list == nil {
		delete(e.remote, addr)
		return
	}
	e.remote[addr] = list
}

// ownRevision returns a number that increases when the followers of this host change.
func (e *entryHosts) ownRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// ownList returns the entry hosts that follow this control host. It is never nil:
// feed.Update.Followers would arrive as if the list had not changed.
func (e *entryHosts) ownList() []feed.HostInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.AppendSeq(make([]feed.HostInfo, 0, len(e.own)), maps.Values(e.own))
}

// all returns the entry hosts that follow any known control host, each once, ordered
// by address.
func (e *entryHosts) all() []feed.HostInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	byAddr := maps.Clone(e.own)
	for _, list := range e.remote {
		for _, host := range list {
			byAddr[host.Addr] = host
		}
	}
	return slices.SortedFunc(maps.Values(byAddr), func(a, b feed.HostInfo) int { return strings.Compare(a.Addr, b.Addr) })
}
