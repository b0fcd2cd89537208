package soak

import (
	"bytes"
	"fmt"
	"time"
)

// answering is how a backend server answers.
type answering int

const (
	usualAnswers answering = iota
	slowAnswers
	errorAnswers
	refusedConnections
)

const (
	usualLatency   = 20 * time.Millisecond
	slowFactor     = 5
	usualBodyBytes = 600 // length of a usual answer
	errorBytes     = 150 // length of an answer that reports an error
)

// latency returns the time that a request takes. A cold backend server takes 1.6 times
// as long.
func (a answering) latency(cold bool) time.Duration {
	d := usualLatency
	if a == slowAnswers {
		d *= slowFactor
	}
	if cold {
		d = d * 16 / 10
	}
	return d
}

// answerTo returns the answer to a request.
func answerTo(request []byte, failed bool) []byte {
	status, length := 200, usualBodyBytes
	if failed {
		status, length = 500, errorBytes
	}
	data := fmt.Appendf(nil, "HTTP/1.1 %d\r\n%s\r\n", status, request)
	return append(data, bytes.Repeat([]byte{'.'}, max(0, length-len(data)))...)
}

func (b *backend) setAnswering(a answering) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answering = a
}

// beginLeave records that the backend server is about to leave. Its flows may be reset
// before the call that says so returns.
func (b *backend) beginLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disturbedAt = time.Now()
}

// openedByBackend returns the number of flows that each running backend server opened.
func (f *backends) openedByBackend() map[*backend]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	opened := map[*backend]int{}
	for _, b := range f.alive {
		b.mu.Lock()
		opened[b] = b.opened
		b.mu.Unlock()
	}
	return opened
}
