// Package fence decides when a host that becomes the home of a unit may serve
// it. A unit is a backend server's slots or a shard of once-only records. Each
// home serves under an epoch, the table revision that made it the home. The
// package is pure: no I/O, clock or goroutine.
package fence

import "slices"

// maxMarks is the number of epochs that a host remembers per unit.
const maxMarks = 16

// Epoch is the table revision at which a unit's home was computed. One
// revision names one home, so an epoch has one home.
type Epoch uint64

// Mark says that a process claimed a unit under an epoch.
type Mark struct {
	Epoch Epoch
	Home  string // process name, which differs for each start of a host
}

// Marks is what one host knows of the claims on one unit. The zero value
// knows none.
type Marks struct{ list []Mark }

// Last returns the claim in force on this host.
func (m *Marks) Last() Mark {
	if len(m.list) == 0 {
		return Mark{}
	}
	return m.list[len(m.list)-1]
}

// Allows reports whether a permission given under the epoch may still be used
// on this host.
func (m *Marks) Allows(e Epoch) bool { return e >= m.Last().Epoch }

// Advance takes a claim. It reports false if a newer one is in force. Once it
// returned true, permissions of older epochs are void on this host.
func (m *Marks) Advance(claim Mark) bool {
	last := m.Last()
	if claim == last {
		return true
	}
	if claim.Epoch <= last.Epoch {
		return false
	}
	m.list = append(m.list, claim)
	if len(m.list) > maxMarks {
		m.list = slices.Delete(m.list, 0, 1)
	}
	return true
}

// Before returns the claims older than the epoch.
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
	Marks  []Mark // older claims that the host took
	Served Epoch  // epoch of which the host holds every record, 0 for none
	Opened Epoch  // last epoch under which the host served as home, 0 for none
	Since  int64  // when the table first listed the process, microseconds since 1970
}

// Verdict is the result of a takeover.
type Verdict int

// The verdicts.
const (
	Pending  Verdict = iota // a host of the table has not reported
	Fresh                   // no home has served the unit before
	Complete                // a report holds every record of the last home
	Lost                    // the records of the last home may be lost
)

// Takeover gathers the reports that a new home needs.
type Takeover struct {
	epoch   Epoch
	born    int64
	first   []string            // processes
	waiting map[string]struct{} // by host name
	reports []Report
}

// NewTakeover starts a takeover that needs a report of each named host. The
// unit exists since born, in microseconds since 1970; 0 if that is unknown.
// first are the processes of the hosts if no other process was ever listed,
// else nil.
func NewTakeover(e Epoch, born int64, hosts, first []string) *Takeover {
	t := &Takeover{epoch: e, born: born, first: first, waiting: map[string]struct{}{}}
	for _, h := range hosts {
		t.waiting[h] = struct{}{}
	}
	return t
}

// Waiting returns the hosts whose reports are missing, in order.
func (t *Takeover) Waiting() []string {
	var hosts []string
	for h := range t.waiting {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

// Add takes the report of a host. A second one of the same host is ignored.
func (t *Takeover) Add(host string, r Report) bool {
	if _, ok := t.waiting[host]; !ok {
		return false
	}
	delete(t.waiting, host)
	t.reports = append(t.reports, r)
	return true
}

// Keep stops waiting for hosts that the table no longer lists.
func (t *Takeover) Keep(listed func(host string) bool) {
	for h := range t.waiting {
		if !listed(h) {
			delete(t.waiting, h)
		}
	}
}

// Result returns the verdict and, if it is Complete, the epoch whose records
// are whole.
func (t *Takeover) Result() (Verdict, Epoch) {
	if len(t.waiting) > 0 {
		return Pending, 0
	}
	last := t.lastOpened()
	if last == 0 {
		return t.unclaimed(), 0
	}
	for _, r := range t.reports {
		if r.Served == last {
			return Complete, last
		}
	}
	return Lost, 0
}

// lastOpened returns the last epoch whose home may have served. An epoch
// whose home reports that it never served does not count.
func (t *Takeover) lastOpened() Epoch {
	var last Epoch
	for _, r := range t.reports {
		last = max(last, r.Served, r.Opened)
		for _, m := range r.Marks {
			if m.Epoch < t.epoch && !t.neverOpened(m) {
				last = max(last, m.Epoch)
			}
		}
	}
	return last
}

func (t *Takeover) neverOpened(m Mark) bool {
	for _, r := range t.reports {
		if r.Host == m.Home {
			return r.Opened < m.Epoch
		}
	}
	return false
}

// unclaimed decides for a unit that no reporting process remembers. Nobody
// served it if these are all processes that were ever listed, or if each was
// listed before the unit came to be.
func (t *Takeover) unclaimed() Verdict {
	if t.allReported() {
		return Fresh
	}
	for _, r := range t.reports {
		if r.Since > t.born {
			return Lost
		}
	}
	return Fresh
}

// allReported reports whether each process that was ever listed reported.
func (t *Takeover) allReported() bool {
	if len(t.first) == 0 || len(t.reports) != len(t.first) {
		return false
	}
	for _, r := range t.reports {
		if !slices.Contains(t.first, r.Host) {
			return false
		}
	}
	return true
}
