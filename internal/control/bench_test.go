package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

// BenchmarkRecover100000Changes measures the start of a host whose log holds
// 100,000 changes of settings, none of them in a snapshot.
func BenchmarkRecover100000Changes(b *testing.B) {
	const changes = 100000
	disk, err := wal.OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	writeLog(b, disk, changes)
	cfg := raft.Config{ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Rand: rand.New(rand.NewPCG(1, 1))}
	for b.Loop() {
		log, stored, err := wal.Open(disk, nil)
		if err != nil {
			b.Fatal(err)
		}
		r := replica.New()
		e, err := newEngine(cfg, stored, log, r, 0)
		if err != nil {
			b.Fatal(err)
		}
		e.snapshotEntries = 2 * changes
		e.process(0)
		if r.Revision() != changes+1 {
			b.Fatalf("revision %d", r.Revision())
		}
		_ = log.Close()
	}
}

func writeLog(b *testing.B, disk wal.Disk, changes uint64) {
	log, stored, err := wal.Open(disk, func() raft.ID { return 1 })
	if err != nil {
		b.Fatal(err)
	}
	members := raft.Membership{Members: []raft.Member{{ID: stored.ID, Name: "a", Addr: "a", Voter: true}, {ID: 2, Name: "b", Addr: "b", Voter: true}}}
	batch := []raft.Entry{{Index: 1, Term: 1, Type: raft.EntryMembership, Data: raft.EncodeMembership(members)}}
	for i := range changes {
		data, err := state.Encode(setCommand(fmt.Sprint(i), int(i%1000)))
		if err != nil {
			b.Fatal(err)
		}
		batch = append(batch, raft.Entry{Index: i + 2, Term: 1, Data: data})
		if len(batch) >= 100 || i == changes-1 {
			if err := log.Save(raft.HardState{Term: 1, Commit: i + 2}, batch); err != nil {
				b.Fatal(err)
			}
			batch = nil
		}
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}
