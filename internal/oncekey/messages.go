// Package oncekey keeps the records by which a request with a key runs at most
// once. Keys are divided into shards. A shard's home and backup, two entry
// hosts, hold an intent record before a request is sent to a backend server,
// and its answer afterwards. The package is pure: no I/O, clock or goroutine.
package oncekey

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/fence"
)

// MaxSkew is the largest difference between two clocks that the records
// tolerate.
const MaxSkew = 5 * time.Second

// shards is the number of shards.
const shards = 64

// Shards returns the units of all shards.
func Shards() []string {
	units := make([]string, shards)
	for i := range units {
		units[i] = unit(uint64(i))
	}
	return units
}

// ShardOf returns the unit of a key.
func ShardOf(key string) string { return unit(xxhash.Sum64String(key) % shards) }

func unit(i uint64) string { return fmt.Sprintf("key/%d", i) }

// State is the state of a record.
type State int

// The states.
const (
	Intent State = iota + 1 // the request was permitted to run
	Done                    // the request has its answer
)

// Answer is a backend server's answer as it is kept.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	Cut    bool // the answer was too large to be kept
}

// Record is what is known of one key.
type Record struct {
	Key     string
	State   State
	Attempt string        // the attempt that may run
	Runner  string        // process name of the entry host that runs it
	Change  uint64        // number of the home's change that made the record so
	Left    time.Duration // until the attempt's deadline; negative afterwards
	Age     time.Duration // since the record was made
	Answer  Answer        // of a Done record
}

// Begin asks whether a request may run.
type Begin struct {
	Key       string
	Attempt   string
	Runner    string
	Remaining time.Duration // until the deadline
	Made      time.Time     // when the caller made the key, zero if it did not say
	Service   fence.Epoch   // revision at which the key's service was created, 0 if unknown
}

// Floor bounds what a home may not know: a key that was made before Time may
// have run without a record, unless its service was created after Epoch.
type Floor struct {
	Time  time.Time
	Epoch fence.Epoch // of the takeover whose predecessor was lost
}

// Hides reports whether keys of a service may have run without a record.
func (f Floor) Hides(service fence.Epoch) bool { return service <= f.Epoch }

// Verdict is the answer of a home to a Begin.
type Verdict int

// The verdicts. Run alone permits the request to run.
const (
	NotHome  Verdict = iota // the host is not the home, or not yet
	Run                     // first attempt; the intent record exists
	Answered                // the request ran; its answer is kept
	Running                 // an earlier attempt runs
	Unknown                 // the request may have run
	Invalid                 // the key's time lies in the future
	Busy                    // the shard holds as many records as it may
)

// Decision is the answer to a Begin.
type Decision struct {
	Verdict Verdict
	Epoch   fence.Epoch
	Record  Record // for Run and Answered
	Why     string // for Unknown, the reason as a sentence
}

// Report is a host's answer to a claim on a shard.
type Report struct {
	fence.Report
	Floor   Floor    // of the epoch that the host served
	Records []Record // all that the host holds
	Sending []Record // intents of requests that this host sends now
}

// Params are the limits of a shard.
type Params struct {
	Retention  time.Duration // how long a record is kept
	Lease      time.Duration // how long a home permits requests after its state was current
	MaxRecords int
}
