// Package idempotency ensures that a request with an idempotency key runs at most
// once. Keys are divided into shards. Two entry hosts, the home of a shard and
// its backup, store an intent record before a request is sent to a backend
// server, and the answer afterwards. Each time that a caller sends the request is
// an attempt; the home permits it only if no other attempt with the key may run or
// have run. A host becomes the home by a claim that the other entry hosts accept
// (see package fence). The package has no I/O, clock or goroutine.
package idempotency

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/fence"
)

// MaxSkew is the largest clock difference between two machines at which it is
// still certain that no request runs twice.
const MaxSkew = 5 * time.Second

// shardCount is the number of shards.
const shardCount = 64

// Shards returns the names of all shards as units of package fence.
func Shards() []string {
	units := make([]string, shardCount)
	for i := range units {
		units[i] = unit(uint64(i))
	}
	return units
}

// ShardOf returns the unit name of a key's shard.
func ShardOf(key string) string { return unit(xxhash.Sum64String(key) % shardCount) }

func unit(i uint64) string { return fmt.Sprintf("key/%d", i) }

// State is the state of a record.
type State int

// The states.
const (
	Intent State = iota + 1 // the request has permission to run
	Done                    // the request ran and its answer is known
)

// Answer is the stored answer of a backend server.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	Cut    bool // the answer was too large or incomplete, and is not stored
}

// Record is the state of one key.
type Record struct {
	Key     string
	State   State
	Attempt string        // the attempt that has permission to run
	Runner  string        // process name of the entry host that sends the attempt
	Change  uint64        // number of the home's change that led to this record
	Left    time.Duration // time until the attempt's deadline; negative after it
	Age     time.Duration // time since the record was created
	Answer  Answer        // for Done only
}

// Begin asks the home of a shard whether a request may run.
type Begin struct {
	Key       string
	Attempt   string
	Runner    string
	Remaining time.Duration // time until the attempt's deadline
	Made      time.Time     // when the caller created the key, zero if it did not state this
	Service   fence.Epoch   // revision at which the key's service was created, 0 if unknown
}

// Floor marks the keys whose records may be lost. A key that was created at or
// before Time may have run although it has no record, unless its service was
// created after Epoch.
type Floor struct {
	Time  time.Time
	Epoch fence.Epoch // epoch of the takeover that found the records of its predecessor lost
}

// Covers reports whether the floor applies to the keys of a service. service is
// the revision at which the service was created, 0 if unknown.
func (f Floor) Covers(service fence.Epoch) bool { return service <= f.Epoch }

// Verdict is the decision of a home on a Begin.
type Verdict int

// The verdicts. Only Run permits the request to run.
const (
	NotHome  Verdict = iota // the host is not the home, or may not permit requests now
	Run                     // the attempt has permission; the intent record exists
	Answered                // the request ran and its answer is stored
	Running                 // an earlier attempt may be running
	Unknown                 // the request may have run, but there is no answer to return
	Invalid                 // the key's creation time is more than MaxSkew in the future
	Busy                    // the shard has MaxRecords records
)

// Decision answers a Begin.
type Decision struct {
	Verdict Verdict
	Epoch   fence.Epoch // for Run, epoch of the home's claim
	Record  Record      // for Run and Answered
	Why     string      // for Unknown, the reason in words
}

// Report is a host's answer to a claim on a shard.
type Report struct {
	fence.Report
	Floor   Floor    // floor of epoch Served
	Records []Record // all records of the host as home or backup
	Sending []Record // intent records of requests that the host is sending
}

// Params are the limits of a shard.
type Params struct {
	Retention  time.Duration // how long a record is stored after its creation
	Lease      time.Duration // how long a home permits requests after its table was last known to be current
	MaxRecords int
}
