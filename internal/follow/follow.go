package follow

import (
	"time"
)

// Durations of pulls and pauses.
const (
	PullWait     = 4 * time.Second        // how long a source holds a pull open while there is no newer revision
	PullTimeout  = PullWait + time.Second // a pull that takes longer counts as failed
	hedgeAfter   = 500 * time.Millisecond // how long a revision that other hosts have may be missing before a hedged pull
	staleAfter   = 20 * time.Second       // a source whose state was last confirmed longer ago than this is stale
	firstBackoff = 200 * time.Millisecond // pause after the first failure of a source
	maxBackoff   = 5 * time.Second
	staleBackoff = 3 * time.Second // pause of a stale source
)

// Core chooses the source of each pull and records failures of sources. It is not
// safe for concurrent use.
type Core struct {
	sources      []Source
	failures     map[string]failure // by name of the source
	missingSince time.Time          // when a known revision was first missing or last hedged, zero if none is missing
	hedges       int                // number of hedges so far
}

// failure is the backoff state of a source.
type failure struct {
	count       int // consecutive failed pulls
	pausedUntil time.Time
}

// New returns a core without sources.
func New() *Core { return &Core{failures: map[string]failure{}} }

// SetSources replaces the list of sources, best first.
func (c *Core) SetSources(sources []Source) { c.sources = sources }

// Next returns the source of the next pull. If all sources are paused, it returns the
// one whose pause ends first and the time until then. It reports false if there is no
// source.
func (c *Core) Next(now time.Time) (s Source, wait time.Duration, ok bool) {
	for _, candidate := range c.sources {
		pause := c.failures[candidate.Name].pausedUntil.Sub(now)
		if pause <= 0 {
			return candidate, 0, true
		}
		if !ok || pause < wait {
			s, wait, ok = candidate, pause, true
		}
	}
	return s, wait, ok
}

// Hedge returns a source for an additional pull if the revision known to exist has been
// newer than the host's own for hedgeAfter. It reports false if no such pull is due or
// no source is usable. Since the source of the current pull may hang, it cycles through
// all sources that are not paused.
func (c *Core) Hedge(now time.Time, known, own uint64) (Source, bool) {
	if known <= own {
		c.missingSince = time.Time{}
		return Source{}, false
	}
	if c.missingSince.IsZero() {
		c.missingSince = now
	}
	if now.Sub(c.missingSince) < hedgeAfter {
		return Source{}, false
	}
	c.missingSince = now
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
		if !c.failures[s.Name].pausedUntil.After(now) {
			list = append(list, s)
		}
	}
	return list
}

// PullFailed records that a pull from the source failed and pauses the source. The
// pause doubles with each consecutive failure, up to maxBackoff.
func (c *Core) PullFailed(now time.Time, name string) {
	f := c.failures[name]
	pause := min(firstBackoff<<min(f.count, 10), maxBackoff)
	c.failures[name] = failure{count: f.count + 1, pausedUntil: now.Add(pause)}
}

// PullAnswered records that the source answered a pull and that its state was last
// known to be current age ago. A partitioned source still answers, but its age grows
// until it counts as stale.
func (c *Core) PullAnswered(now time.Time, name string, age time.Duration) {
	if age > staleAfter {
		c.MarkStale(now, name)
		return
	}
	delete(c.failures, name)
}

// MarkStale pauses a source for staleBackoff, since its state is not known to be
// current.
func (c *Core) MarkStale(now time.Time, name string) {
	c.failures[name] = failure{count: c.failures[name].count, pausedUntil: now.Add(staleBackoff)}
}
