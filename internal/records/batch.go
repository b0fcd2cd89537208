package records

import (
	"encoding/binary"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/table"
)

// wireBytes is the size of one record in a batch.
const wireBytes = 12

// BucketStatus is what the home of a moving bucket knows about it. Controllers
// read it to decide when a move may go on.
type BucketStatus struct {
	Service    string
	Bucket     int
	Since      uint64        // revision of the bucket, as the home sees it
	Home       table.HostNum // the reporting host
	SettledFor time.Duration // how long the home has seen every packet of the bucket
	Exceptions int           // records of candidates other than the one for new flows
	// Done is true when the home has done what the phase waits for: in Move,
	// SettledFor exceeds the idle timeout; in Settle, no exception is left.
	Done bool
	// Kept is true for a stable bucket of which the host has records from a
	// time when it was cut off. The bucket is to enter Settle with this host
	// as its home, so that the flows stay where they are.
	Kept   bool
	Copies []CopyStatus
}

// CopyStatus tells that a backup holds every record of a bucket.
type CopyStatus struct {
	Backup      table.HostNum
	Incarnation uint64 // of the backup
}

// Batch carries records of one bucket from its home to a backup, or from a
// host that was cut off to the home.
type Batch struct {
	Service  string
	Bucket   int
	Data     []byte // encoded records
	Override bool   // they count before what the receiver has
}

// Encode returns the wire form of records.
func Encode(records []Record) []byte {
	data := make([]byte, 0, len(records)*wireBytes)
	for _, r := range records {
		data = binary.LittleEndian.AppendUint64(data, r.Flow)
		data = binary.LittleEndian.AppendUint32(data, uint32(r.Backend))
	}
	return data
}

// Decode parses the wire form of records.
func Decode(data []byte) ([]Record, error) {
	if len(data)%wireBytes != 0 {
		return nil, fault.New(fault.Invalid, "run the same version on all hosts", "records of %d bytes are cut short", len(data))
	}
	records := make([]Record, 0, len(data)/wireBytes)
	for ; len(data) > 0; data = data[wireBytes:] {
		records = append(records, Record{
			Flow:    binary.LittleEndian.Uint64(data),
			Backend: table.BackendNum(binary.LittleEndian.Uint32(data[8:])),
		})
	}
	return records, nil
}
