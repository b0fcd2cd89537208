// Package control is the control host's role: it commits changes of settings
// and placements to the log.
package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
)

// Log commits commands.
type Log interface {
	// Propose commits a command and returns its result once it is durable
	// and applied.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Leader returns the RPC address of the host that commits, and whether
	// it is this one. The address is empty while none is known.
	Leader() (addr string, self bool)
}

// FileLog is a log on one control host: a file of entries, synced before an
// entry counts.
type FileLog struct {
	mu      sync.Mutex
	file    *os.File
	enc     *cbor.Encoder
	replica *replica.Replica
	self    string
}

// OpenFileLog opens the log in the folder and applies its entries to the
// replica. self is the host's own RPC address.
func OpenFileLog(folder, self string, r *replica.Replica) (*FileLog, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(folder, "log")
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	dec := cbor.NewDecoder(file)
	for {
		var e replica.Entry
		if dec.Decode(&e) != nil {
			break
		}
		if _, err := r.Apply(e); err != nil {
			return nil, fmt.Errorf("apply log %s: %w", path, err)
		}
	}
	if err := file.Truncate(int64(dec.NumBytesRead())); err != nil {
		return nil, fmt.Errorf("cut log: %w", err)
	}
	if _, err := file.Seek(0, 2); err != nil {
		return nil, fmt.Errorf("seek log: %w", err)
	}
	return &FileLog{file: file, enc: cbor.NewEncoder(file), replica: r, self: self}, nil
}

// Propose commits a command.
func (l *FileLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	e := replica.Entry{Revision: l.replica.Revision() + 1, Data: data}
	if err := l.enc.Encode(e); err != nil {
		return state.Result{}, fault.New(fault.Unavailable, "check the disk", "write log: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return state.Result{}, fault.New(fault.Unavailable, "check the disk", "sync log: %w", err)
	}
	return l.replica.Apply(e)
}

// Leader returns this host.
func (l *FileLog) Leader() (string, bool) { return l.self, true }

// Close closes the file.
func (l *FileLog) Close() error { return l.file.Close() }
