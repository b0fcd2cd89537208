package records

import (
	"encoding/binary"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/table"
)

// recordWireBytes is the size of one encoded record.
const recordWireBytes = 12

// BucketStatus is the status of a bucket as its home reports it. Control hosts use
// it to decide when a move may enter its next phase.
type BucketStatus struct {
	Service    string
	Bucket     int
	Since      uint64        // Since of the bucket in the home's table
	Home       table.HostNum // the reporting host
	SettledFor time.Duration // how long the home has seen every packet of the bucket
	Exceptions int           // number of records whose backend server is not the bucket's Opening
	// Done is true when the home has met the condition for the end of the
	// phase: in Move, SettledFor exceeds the idle timeout; in Settle, there
	// are also no exceptions left.
	Done bool
	// Kept is true for a stable bucket for which the host has records from a
	// period when it was cut off. The bucket must enter Settle with this host
	// as its home, so that the flows stay at their backend servers.
	Kept   bool
	Copies []CopyStatus
}

// CopyStatus names a backup that has acknowledged a copy of every record of a
// bucket.
type CopyStatus struct {
	Backup      table.HostNum
	Incarnation uint64 // incarnation of the backup
}

// Batch carries records of one bucket from its home to a backup, or from a
// host that was cut off to the home.
type Batch struct {
	Service  string
	Bucket   int
	Data     []byte // encoded records
	Override bool   // the records replace those that the receiver has
}

// Encode returns the wire form of the records.
func Encode(records []Record) []byte {
	data := make([]byte, 0, len(records)*recordWireBytes)
	for _, r := range records {
		data = binary.LittleEndian.AppendUint64(data, r.Flow)
		data = binary.LittleEndian.AppendUint32(data, uint32(r.Backend))
	}
	return data
}

// Decode returns the records of a wire form.
func Decode(data []byte) ([]Record, error) {
	if len(data)%recordWireBytes != 0 {
		return nil, fault.New(fault.Invalid, "run the same version on all hosts", "encoded records are truncated at %d bytes", len(data))
	}
	records := make([]Record, 0, len(data)/recordWireBytes)
	for ; len(data) > 0; data = data[recordWireBytes:] {
		records = append(records, Record{
			Flow:    binary.LittleEndian.Uint64(data),
			Backend: table.BackendNum(binary.LittleEndian.Uint32(data[8:])),
		})
	}
	return records, nil
}
