package control

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

// restoreRevisionGap is the minimum distance from the revision of a backup to that of
// the restored state.
const restoreRevisionGap = 1 << 32

// restoredRevision returns a revision above any that was assigned since the
// backup, so that hosts that still hold such a revision accept the restored
// state. The time in microseconds grows faster than revisions, so a second
// restore from the same backup also gets a higher revision than every earlier
// state. An exception is a backup whose revision plus the gap is still ahead of
// the time: one from a log that was itself restored less than 72 minutes ago.
func restoredRevision(backup uint64, now time.Time) uint64 {
	return max(backup+restoreRevisionGap, uint64(now.UnixMicro()))
}

func encodeBackup(s raft.Snapshot) []byte { return wal.EncodeBackup(s) }

// Restore fills an empty data folder from a backup file and returns the restored
// revision. The host that starts with this folder is the only voter of a new
// log.
func Restore(d wal.Disk, name, addr string, backup []byte, now time.Time, random func() uint64) (uint64, error) {
	s, err := wal.DecodeBackup("of the backup", backup)
	if err != nil {
		return 0, err
	}
	st, err := state.Restore(s.Data)
	if err != nil {
		return 0, err
	}
	if st.Revision != s.Index {
		return 0, fault.New(fault.Corrupt, "use another backup", "the backup has revision %d, but its state has revision %d", s.Index, st.Revision)
	}
	st.Revision = restoredRevision(st.Revision, now)
	data, err := st.Snapshot()
	if err != nil {
		return 0, err
	}
	id := raft.ID(random() | 1)
	self := raft.Member{ID: id, Name: name, Addr: addr, Voter: true}
	restored := raft.Snapshot{Index: st.Revision, Term: 1, Membership: raft.Membership{Members: []raft.Member{self}}, Data: data}
	return st.Revision, wal.Restore(d, id, restored)
}
