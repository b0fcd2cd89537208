package control

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"greengagequay/internal/wal"
)

// memDisk is a data folder in memory. A crash discards unsynced file contents.
type memDisk struct {
	files map[string]*memFile
	full  bool
}

type memFile struct {
	d            *memDisk
	data, synced []byte
}

func (d *memDisk) Open(name string) (wal.File, error) {
	if d.files[name] == nil {
		d.files[name] = &memFile{d: d}
	}
	return d.files[name], nil
}

func (d *memDisk) ReadFile(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }
func (d *memDisk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

func (d *memDisk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	return d.Remove(from)
}

func (d *memDisk) SyncDir() error           { return nil }
func (d *memDisk) Lock() (io.Closer, error) { return io.NopCloser(&bytes.Buffer{}), nil }
func (d *memDisk) Path(name string) string  { return name }

func (d *memDisk) crash() {
	for _, f := range d.files {
		f.data = slices.Clone(f.synced)
	}
}

func (f *memFile) Write(p []byte) (int, error) {
	if f.d.full {
		return 0, syscall.ENOSPC
	}
	f.data = append(slices.Clone(f.data), p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = slices.Clone(f.data[:size])
	return nil
}

func (f *memFile) Close() error { return nil }
