package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"greengagequay/internal/codec"

	"greengagequay/internal/raft"
)

const benchEntryBytes = 200

func benchEntries(from, n uint64) []raft.Entry {
	var out []raft.Entry
	for i := range n {
		out = append(out, raft.Entry{Index: from + i, Term: 1, Data: bytes.Repeat([]byte{1}, benchEntryBytes)})
	}
	return out
}

// BenchmarkRecover100000 measures the opening of a folder with 100,000 entries.
func BenchmarkRecover100000(b *testing.B) {
	d, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	l, _, err := Open(d, newID)
	if err != nil {
		b.Fatal(err)
	}
	for i := range uint64(1000) {
		if err := l.Save(raft.HardState{Term: 1}, benchEntries(1+i*100, 100)); err != nil {
			b.Fatal(err)
		}
	}
	_ = l.Close()
	for b.Loop() {
		l, stored, err := Open(d, newID)
		if err != nil || len(stored.Restored.Entries) != 100000 {
			b.Fatal(err, len(stored.Restored.Entries))
		}
		_ = l.file.Close()
		_ = l.lock.Close()
	}
}

// BenchmarkSave measures Save, which appends a batch of entries and syncs it.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []uint64{1, 64} {
		b.Run(map[uint64]string{1: "batch=1", 64: "batch=64"}[batch], func(b *testing.B) {
			d, err := OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			l, _, err := Open(d, newID)
			if err != nil {
				b.Fatal(err)
			}
			next := uint64(1)
			for b.Loop() {
				if err := l.Save(raft.HardState{Term: 1}, benchEntries(next, batch)); err != nil {
					b.Fatal(err)
				}
				next += batch
			}
			b.ReportMetric(float64(b.N)*float64(batch)/b.Elapsed().Seconds(), "entries/s")
			_ = l.Close()
		})
	}
}

// BenchmarkNaiveRewrite measures, for comparison, a log that rewrites its whole
// file for each new entry. The file has 10,000 entries at the start.
func BenchmarkNaiveRewrite(b *testing.B) {
	dir := b.TempDir()
	all := benchEntries(1, 10000)
	for b.Loop() {
		all = append(all, benchEntries(uint64(len(all)+1), 1)...)
		data, err := codec.Marshal(all)
		if err != nil {
			b.Fatal(err)
		}
		f, err := os.Create(filepath.Join(dir, "new"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := f.Write(data); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
		_ = f.Close()
		if err := os.Rename(f.Name(), filepath.Join(dir, "log")); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
}
