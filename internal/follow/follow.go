package follow

import (
	"time"
)

// Times of pulls.
const (
	PullWait     = 4 * time.Second        // a source holds a pull open this long when there is no news
	PullTimeout  = PullWait + time.Second // a pull that takes longer has failed
	hedgeAfter   = 500 * time.Millisecond // a revision known to exist may be missing this long
	staleAfter   = 20 * time.Second       // a state not confirmed for longer makes its source suspect
	firstBackoff = 200 * time.Millisecond // pause after the first failure of a source
	maxBackoff   = 5 * time.Second
	staleBackoff = 3 * time.Second // a suspect source is passed over this long
)

// Core chooses the source of each pull and remembers failures. It is not safe
// for concurrent use.
type Core struct {
	sources  []Source
	failures map[string]failure // by name
	missing  time.Time          // since when a known revision has been missing
	hedges   int                // number of pulls beside the one in use
}

type failure struct {
	count int
	until time.Time
}

// New returns a core without sources.
func New() *Core { return &Core{failures: map[string]failure{}} }

// SetSources replaces the list of sources, best first.
func (c *Core) SetSources(sources []Source) { c.sources = sources }

// Next returns the source of the next pull. If all sources pause after
// failures, it returns the one whose pause ends first and the time to wait.
func (c *Core) Next(now time.Time) (s Source, wait time.Duration, ok bool) {
	for _, candidate := range c.sources {
		pause := c.failures[candidate.Name].until.Sub(now)
		if pause <= 0 {
			return candidate, 0, true
		}
		if !ok || pause < wait {
			s, wait, ok = candidate, pause, true
		}
	}
	return s, wait, ok
}

// Hedge returns a source to pull from beside the one in use, if a revision
// that is known to exist has been missing for too long. It takes the sources
// in turn, since the one in use may hang.
func (c *Core) Hedge(now time.Time, known, own uint64) (Source, bool) {
	if known <= own {
		c.missing = time.Time{}
		return Source{}, false
	}
	if c.missing.IsZero() {
		c.missing = now
	}
	if now.Sub(c.missing) < hedgeAfter {
		return Source{}, false
	}
	c.missing = now
	c.hedges++
	usable := c.usable(now)
	if len(usable) == 0 {
		return Source{}, false
	}
	return usable[c.hedges%len(usable)], true
}

func (c *Core) usable(now time.Time) []Source {
	var list []Source
	for _, s := range c.sources {
		if !c.failures[s.Name].until.After(now) {
			list = append(list, s)
		}
	}
	return list
}

// Failed notes that a pull from the source failed. Its pause doubles with each
// failure in a row.
func (c *Core) Failed(now time.Time, name string) {
	f := c.failures[name]
	pause := min(firstBackoff<<min(f.count, 10), maxBackoff)
	c.failures[name] = failure{count: f.count + 1, until: now.Add(pause)}
}

// Pulled notes an answer of the source, whose state was last known to be
// current age ago. A source that is cut off answers, but its age grows.
func (c *Core) Pulled(now time.Time, name string, age time.Duration) {
	if age > staleAfter {
		c.Stale(now, name)
		return
	}
	delete(c.failures, name)
}

// Stale passes over a source for a while whose state is not known to be
// current.
func (c *Core) Stale(now time.Time, name string) {
	c.failures[name] = failure{count: c.failures[name].count, until: now.Add(staleBackoff)}
}
