package request

import (
	"io"
	"sync"
)

// Body is the body of a caller's request. It keeps a body of up to limit bytes,
// so that it can be sent again to another backend server. A longer body is
// streamed and can be sent only once. Body is safe for concurrent use, since a
// transport may still read it after its request has failed.
type Body struct {
	mu     sync.Mutex
	source io.Reader
	limit  int
	kept   []byte
	read   int64       // number of bytes read from source
	reader *bodyReader // the only reader that may still read
}

// NewBody returns a body that is read from source and kept if it has at most
// limit bytes.
func NewBody(source io.Reader, limit int) *Body { return &Body{source: source, limit: limit} }

// Reader returns a reader of the body from its start and invalidates the previous
// reader. It returns false if the start of the body is no longer kept.
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

// bodyReader reads a Body once from its start.
type bodyReader struct {
	body   *Body
	offset int
}

// Read returns the kept bytes first and then reads from the source.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return 0, io.ErrClosedPipe
	}
	if r.offset < len(b.kept) {
		n := copy(p, b.kept[r.offset:])
		r.offset += n
		return n, nil
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	if b.read <= int64(b.limit) {
		b.kept = append(b.kept, p[:n]...)
		r.offset += n
	} else {
		b.kept = nil
	}
	return n, err
}

// Close does nothing, since the HTTP server closes the caller's body.
func (r *bodyReader) Close() error { return nil }
