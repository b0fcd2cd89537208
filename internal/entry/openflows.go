package entry

import (
	"maps"
	"sync"

	"greengagequay/internal/flow"
	"greengagequay/internal/table"
)

// openFlows counts, for each backend server, the opened TCP flows minus those
// closed by their clients. A flow may open at one entry host and close at
// another, so a count may be negative: only the sum over all entry hosts is
// meaningful. A retransmitted SYN or FIN counts again, and so does an RST after a FIN.
// openFlows is safe for concurrent use.
type openFlows struct {
	mu     sync.Mutex
	counts map[table.BackendNum]int64
}

// observe updates the count of a backend server for a packet forwarded to it.
func (o *openFlows) observe(n table.BackendNum, p *flow.Packet) {
	if !p.TCP() {
		return
	}
	switch {
	case p.SYN && !p.ACK:
		o.add(n, 1)
	case p.FIN || p.RST:
		o.add(n, -1)
	}
}

func (o *openFlows) add(n table.BackendNum, by int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[table.BackendNum]int64{}
	}
	o.counts[n] += by
}

// OpenFlows returns this host's count for each backend server.
func (f *Forwarder) OpenFlows() map[table.BackendNum]int64 {
	f.open.mu.Lock()
	defer f.open.mu.Unlock()
	return maps.Clone(f.open.counts)
}
