// Package fence decides when a host that becomes the home of a unit may serve
// it. A unit is the slots of a backend server or a shard of the records of
// requests with an idempotency key. The table, of which each version has a
// revision, lists the hosts, and the home of a unit is computed from it. A new
// home claims the unit: it asks the listed hosts to accept its epoch and to
// report what they know of earlier homes. The package has no I/O, clock or
// goroutines.
package fence

import "slices"

// maxMarksPerUnit is the number of claims that a host remembers per unit.
const maxMarksPerUnit = 16

// Epoch is the table revision from which a unit's home was computed. A table
// revision determines one home, so each epoch has one home.
type Epoch uint64

// Mark records that a process claimed a unit under an epoch.
type Mark struct {
	Epoch Epoch
	Home  string // process name, different after each restart of a host
}

// Marks holds the latest claims on one unit that a host has accepted. The zero
// value holds none.
type Marks struct{ list []Mark }

// Last returns the newest claim that this host has accepted, which is the one
// in force here.
func (m *Marks) Last() Mark {
	if len(m.list) == 0 {
		return Mark{}
	}
	return m.list[len(m.list)-1]
}

// Allows reports whether a permission granted under the epoch is still valid on
// this host.
func (m *Marks) Allows(e Epoch) bool { return e >= m.Last().Epoch }

// Advance accepts a claim and reports whether it did. It rejects a claim if
// another one with the same or a newer epoch is in force. Once a claim is
// accepted, permissions of older epochs are no longer valid on this host.
func (m *Marks) Advance(claim Mark) bool {
	last := m.Last()
	if claim == last {
		return true
	}
	if claim.Epoch <= last.Epoch {
		return false
	}
	m.list = append(m.list, claim)
	if len(m.list) > maxMarksPerUnit {
		m.list = slices.Delete(m.list, 0, 1)
	}
	return true
}

// Before returns the accepted claims that are older than the epoch.
func (m *Marks) Before(e Epoch) []Mark {
	var older []Mark
	for _, mark := range m.list {
		if mark.Epoch < e {
			older = append(older, mark)
		}
	}
	return older
}

// Report is a host's answer to a claim.
type Report struct {
	Host   string // process name
	Marks  []Mark // older claims that the host has accepted
	Served Epoch  // epoch for which the host holds all records, 0 for none
	Opened Epoch  // latest epoch under which the host served as home, 0 for none
	Since  int64  // time from which the table has listed the process without a gap, microseconds since 1970
}

// Verdict is the result of a takeover.
type Verdict int

const (
	Pending  Verdict = iota // a listed host has not reported yet
	Fresh                   // no home has served the unit before
	Complete                // a reporting host holds all records of the last home
	Lost                    // the records of the last home may be lost
)

// Takeover collects the reports that a new home needs before it serves a unit.
type Takeover struct {
	epoch            Epoch
	createdAt        int64
	initialProcesses []string            // process names
	waiting          map[string]struct{} // names of the hosts that have not reported
	reports          []Report
}

// NewTakeover starts a takeover that needs a report from each of the hosts.
// createdAt is the creation time of the unit in microseconds since 1970, or 0
// if it is unknown. initialProcesses are the processes of the hosts if the
// table has never listed any other process, else nil.
func NewTakeover(e Epoch, createdAt int64, hosts, initialProcesses []string) *Takeover {
	t := &Takeover{epoch: e, createdAt: createdAt, initialProcesses: initialProcesses, waiting: map[string]struct{}{}}
	for _, h := range hosts {
		t.waiting[h] = struct{}{}
	}
	return t
}

// Waiting returns the sorted names of the hosts that have not reported.
func (t *Takeover) Waiting() []string {
	var hosts []string
	for h := range t.waiting {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

// Add adds the report of a host and reports whether it was needed. It ignores
// further reports of the same host and those of other hosts.
func (t *Takeover) Add(host string, r Report) bool {
	if _, ok := t.waiting[host]; !ok {
		return false
	}
	delete(t.waiting, host)
	t.reports = append(t.reports, r)
	return true
}

// DropUnlisted stops waiting for hosts that the table no longer lists.
func (t *Takeover) DropUnlisted(listed func(host string) bool) {
	for h := range t.waiting {
		if !listed(h) {
			delete(t.waiting, h)
		}
	}
}

// Result returns the verdict and, if it is Complete, the epoch whose records
// are complete.
func (t *Takeover) Result() (Verdict, Epoch) {
	if len(t.waiting) > 0 {
		return Pending, 0
	}
	last := t.lastServed()
	if last == 0 {
		return t.unclaimedVerdict(), 0
	}
	for _, r := range t.reports {
		if r.Served == last {
			return Complete, last
		}
	}
	return Lost, 0
}

// lastServed returns the latest epoch whose home may have served the unit, or 0
// if there is none. It skips epochs whose home reports that it never served.
func (t *Takeover) lastServed() Epoch {
	var last Epoch
	for _, r := range t.reports {
		last = max(last, r.Served, r.Opened)
		for _, m := range r.Marks {
			if m.Epoch < t.epoch && !t.neverServed(m) {
				last = max(last, m.Epoch)
			}
		}
	}
	return last
}

// neverServed reports whether the process that made the claim reports that it did
// not serve under the claim's epoch.
func (t *Takeover) neverServed(m Mark) bool {
	for _, r := range t.reports {
		if r.Host == m.Home {
			return r.Opened < m.Epoch
		}
	}
	return false
}

// unclaimedVerdict returns the verdict if no reporting process knows of a home
// that served the unit. The unit is Fresh if the reports cover all processes that
// were ever listed, or if the table has listed each reporting process since before
// the unit was created. Otherwise it is Lost, because a process that is no longer
// listed may have served the unit.
func (t *Takeover) unclaimedVerdict() Verdict {
	if t.allReported() {
		return Fresh
	}
	for _, r := range t.reports {
		if r.Since > t.createdAt {
			return Lost
		}
	}
	return Fresh
}

// allReported reports whether every process that was ever listed has reported.
func (t *Takeover) allReported() bool {
	if len(t.initialProcesses) == 0 || len(t.reports) != len(t.initialProcesses) {
		return false
	}
	for _, r := range t.reports {
		if !slices.Contains(t.initialProcesses, r.Host) {
			return false
		}
	}
	return true
}
