package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

var errCrash = errors.New("the host crashed")

const sectorBytes = 16 // the disk writes this many bytes as a unit

// inode is a file: the content that a process sees, and the content that is sure
// to survive a crash.
type inode struct{ data, durable []byte }

// fakeDisk loses, tears and reorders unsynced writes.
type fakeDisk struct {
	names         map[string]*inode
	durable       map[string]*inode
	pending       []func(map[string]*inode) // changes of names since the last SyncDir
	opsUntilCrash int                       // operations until the crash, negative for no crash
	freeBytes     int                       // bytes until the disk is full, negative for no limit
	opsUntilFull  int                       // operations until the disk is full, negative for never
	syncErr       error
	ops           int
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{names: map[string]*inode{}, durable: map[string]*inode{}, opsUntilCrash: -1, freeBytes: -1, opsUntilFull: -1}
}

// op counts an operation and reports whether the host crashes in it.
func (d *fakeDisk) op() bool {
	d.ops++
	if d.opsUntilCrash > 0 {
		d.opsUntilCrash--
	}
	return d.opsUntilCrash == 0
}

// full reports whether the disk takes no bytes and no new names. Each call counts as
// an operation until it is full.
func (d *fakeDisk) full() bool {
	if d.opsUntilFull > 0 {
		d.opsUntilFull--
	}
	return d.opsUntilFull == 0
}

func (d *fakeDisk) changeNames(change func(map[string]*inode)) error {
	change(d.names)
	d.pending = append(d.pending, change)
	if d.op() {
		return errCrash
	}
	return nil
}

// crash simulates a power loss: a random part of the unsynced changes survives.
func (d *fakeDisk) crash(r *rand.Rand) {
	for _, change := range d.pending {
		if r.IntN(2) == 0 {
			change(d.durable)
		}
	}
	d.names, d.pending, d.opsUntilCrash = maps.Clone(d.durable), nil, -1
	for _, f := range d.names {
		f.data = mixSectors(r, f.durable, f.data)
		f.durable = slices.Clone(f.data)
	}
}

// mixSectors returns the content of a file after a crash during a write. Each
// sector comes at random from the content before or after the write.
func mixSectors(r *rand.Rand, before, after []byte) []byte {
	size := []int{len(before), len(after), (len(before) + len(after)) / 2}[r.IntN(3)]
	out := make([]byte, size)
	for at := 0; at < size; at += sectorBytes {
		from := before
		if r.IntN(2) == 0 {
			from = after
		}
		if at < len(from) {
			copy(out[at:min(at+sectorBytes, size)], from[at:])
		}
	}
	return out
}

func (d *fakeDisk) Open(name string) (File, error) {
	if d.names[name] == nil {
		if d.full() {
			return nil, syscall.ENOSPC
		}
		f := &inode{}
		if err := d.changeNames(func(m map[string]*inode) { m[name] = f }); err != nil {
			return nil, err
		}
	}
	return &fakeFile{d, d.names[name]}, nil
}

func (d *fakeDisk) ReadFile(name string) ([]byte, error) {
	if f := d.names[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (d *fakeDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil }

func (d *fakeDisk) Rename(from, to string) error {
	f := d.names[from]
	if d.full() {
		return syscall.ENOSPC
	}
	return d.changeNames(func(m map[string]*inode) {
		delete(m, from)
		m[to] = f
	})
}

func (d *fakeDisk) Remove(name string) error {
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	return d.changeNames(func(m map[string]*inode) { delete(m, name) })
}

func (d *fakeDisk) SyncDir() error {
	if d.op() {
		return errCrash
	}
	d.durable, d.pending = maps.Clone(d.names), nil
	return nil
}

func (d *fakeDisk) Lock() (io.Closer, error)    { return io.NopCloser(nil), nil }
func (d *fakeDisk) Path(name string) string     { return "data/" + name }
func (d *fakeDisk) flipBit(name string, at int) { d.names[name].data[at] ^= 0x40 }

type fakeFile struct {
	d *fakeDisk
	f *inode
}

func (f *fakeFile) Write(p []byte) (int, error) {
	n := len(p)
	if f.d.full() {
		n /= 2
	}
	if f.d.freeBytes >= 0 {
		n = min(n, f.d.freeBytes)
		f.d.freeBytes -= n
	}
	f.f.data = append(slices.Clone(f.f.data), p[:n]...)
	if f.d.op() {
		return 0, errCrash
	}
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *fakeFile) Sync() error {
	if f.d.op() {
		return errCrash
	}
	if f.d.syncErr != nil {
		return f.d.syncErr
	}
	f.f.durable = slices.Clone(f.f.data)
	return nil
}

func (f *fakeFile) Truncate(size int64) error {
	if f.d.full() {
		return syscall.ENOSPC
	}
	f.f.data = slices.Clone(f.f.data[:size])
	if f.d.op() {
		return errCrash
	}
	return nil
}

func (f *fakeFile) Close() error { return nil }
