package fleet

import "time"

const (
	// rebuildShare is the largest share of the time that an entry host spends on
	// tables. Each change of a backend server needs a new table of all of them, and
	// packets wait meanwhile.
	rebuildShare = 0.1
	// maxRebuildDelay limits the delay of a change. It is well below the time for
	// which a draining backend server keeps running.
	maxRebuildDelay = 250 * time.Millisecond
)

// rebuildPacer decides when an entry host builds its table anew after changes of
// backend servers. It answers bursts of changes on hosts with little processor
// time, such as after a restart of many backend servers.
type rebuildPacer struct {
	endedAt time.Duration // when the last table was complete
	took    time.Duration // how long it took
	built   bool
}

// delay returns how long the next table has to wait, 0 if it may be built now.
func (p *rebuildPacer) delay(now time.Duration) time.Duration {
	if !p.built {
		return 0
	}
	pause := min(maxRebuildDelay, time.Duration(float64(p.took)*(1/rebuildShare-1)))
	return max(0, p.endedAt+pause-now)
}

// record records that a table was built.
func (p *rebuildPacer) record(began, ended time.Duration) {
	p.built, p.endedAt, p.took = true, ended, ended-began
}
