// Package wal stores the replicated log in one data folder: a write-ahead log
// of checksummed frames in segments, snapshots and the member's identity.
// Data survives a crash once Save has returned without an error. Open removes a
// frame that a crash left incomplete, and returns an error if any other data
// fails its check.
package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"greengagequay/internal/fault"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	io.Closer
	// Sync makes the written data durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// Disk is the data folder. Created, renamed and removed names survive a crash
// only once SyncDir has returned.
type Disk interface {
	// Open opens a file for appending, and creates it if absent.
	Open(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// List returns the names of all files.
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	// Lock locks the folder against other processes until the result is closed.
	Lock() (io.Closer, error)
	// Path returns the path of a file, for error messages.
	Path(name string) string
}

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// Folder is a Disk on the file system.
type Folder struct{ path string }

// OpenFolder returns the folder at path, which is created if absent.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fault.New(fault.Unavailable, "check the settings field \"data\" and the permissions of the folder", "create data folder: %w", err)
	}
	return &Folder{path: path}, nil
}

// Path returns the path of a file.
func (f *Folder) Path(name string) string { return filepath.Join(f.path, name) }

// Open opens a file for appending, and creates it if absent.
func (f *Folder) Open(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_WRONLY|os.O_APPEND|os.O_CREATE, fileMode)
}

// ReadFile returns the content of a file.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.Path(name)) }

// List returns the names of all files.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename renames a file and replaces any file that has the new name.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.Path(from), f.Path(to)) }

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.Path(name)) }

// SyncDir makes created, renamed and removed names durable.
func (f *Folder) SyncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Lock locks the folder against other processes.
func (f *Folder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.Path(lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fault.New(fault.Conflict, "stop the other process, or give this one its own folder", "data folder %s is in use by another process: %w", f.path, err)
	}
	return file, nil
}

func notExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
