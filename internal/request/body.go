package request

import (
	"io"
	"sync"
)

// Body is a caller's body. It keeps the first bytes, up to a limit, so that a
// short body can be sent again to another backend server. A long one streams
// and can be sent once. It is safe for concurrent use, since a transport may
// still read when its request has failed.
type Body struct {
	mu     sync.Mutex
	from   io.Reader
	limit  int
	kept   []byte
	read   int64 // bytes taken from the caller
	reader *bodyReader
}

// NewBody returns a body that keeps up to limit bytes.
func NewBody(from io.Reader, limit int) *Body { return &Body{from: from, limit: limit} }

// Reader returns a reader of the body from its start and ends the earlier one.
// It reports false if the start is no longer kept.
func (b *Body) Reader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read > int64(len(b.kept)) {
		return nil, false
	}
	b.reader = &bodyReader{body: b}
	return b.reader, true
}

// Kept reports whether Reader can return the body from its start.
func (b *Body) Kept() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read <= int64(len(b.kept))
}

// bodyReader is one pass over a Body.
type bodyReader struct {
	body *Body
	at   int
}

// Read reads kept bytes first and then from the caller.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return 0, io.ErrClosedPipe
	}
	if r.at < len(b.kept) {
		n := copy(p, b.kept[r.at:])
		r.at += n
		return n, nil
	}
	n, err := b.from.Read(p)
	b.read += int64(n)
	if b.read <= int64(b.limit) {
		b.kept = append(b.kept, p[:n]...)
		r.at += n
	} else {
		b.kept = nil
	}
	return n, err
}

// Close does nothing: the caller's body belongs to the caller's connection.
func (r *bodyReader) Close() error { return nil }
