package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// viewCache caches the view of the table in force. Readers take no lock unless
// the table has changed. A host is cut off while its lease from the control quorum
// is expired. It then uses the cut-off view, in which reachable hosts replace the
// unreachable homes.
type viewCache struct {
	d         *Daemon
	router    *route.Router
	mu        sync.Mutex // serializes the building of views
	current   atomic.Pointer[cachedView]
	isCutOff  bool            // the cut-off view is in use; guarded by mu
	reachable map[string]bool // names of the hosts that were reachable while the lease was expired; guarded by mu
	renewedAt time.Time       // when the lease of a cut-off host was renewed, or zero; guarded by mu
}

type cachedView struct {
	table *table.Table
	view  *route.View
}

func (c *viewCache) init(d *Daemon, r *route.Router) {
	c.d, c.router = d, r
	c.rebuild()
}

// view returns the view of the table in force.
func (c *viewCache) view() *route.View {
	v := c.current.Load()
	if v.table == c.d.Replica.Table() {
		return v.view
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Load().table != c.d.Replica.Table() {
		c.rebuild()
	}
	return c.current.Load().view
}

// refresh switches to the cut-off view when this host's lease has expired, and
// back route.HealDelay after the lease has been renewed. The records that were made
// while the host was cut off then take precedence over the table.
func (c *viewCache) refresh(now time.Time) {
	expired := c.d.leaseExpired()
	c.mu.Lock()
	defer c.mu.Unlock()
	if expired {
		c.isCutOff, c.renewedAt = true, time.Time{}
	}
	if !c.isCutOff {
		return
	}
	if !expired {
		c.heal(now)
	}
	c.rebuild() // the set of reachable hosts may have changed too
}

// heal marks the buckets whose records take precedence over the table. It
// switches back from the cut-off view route.HealDelay after the lease was renewed.
func (c *viewCache) heal(now time.Time) {
	if c.renewedAt.IsZero() {
		c.renewedAt = now
	}
	c.router.Heal(route.NewView(c.d.Replica.Table(), c.d.Config.Name, c.router))
	c.isCutOff = now.Sub(c.renewedAt) < route.HealDelay
}

func (c *viewCache) rebuild() {
	t := c.d.Replica.Table()
	v := route.NewView(t, c.d.Config.Name, c.router)
	if c.isCutOff {
		v = c.cutOffView(v)
	}
	c.current.Store(&cachedView{table: t, view: v})
}

// cutOffView returns the view of a host that is cut off. After the lease has been
// renewed, the set of reachable hosts stays as it was, so that the same hosts keep
// replacing unreachable homes.
func (c *viewCache) cutOffView(v *route.View) *route.View {
	healing := !c.renewedAt.IsZero()
	if !healing {
		c.reachable = map[string]bool{}
		for _, h := range c.d.Members.Hosts() {
			c.reachable[h.Name] = h.State == model.Alive
		}
	}
	v = v.CutOff(func(h table.Host) bool { return c.reachable[h.Name] })
	if healing {
		v = v.Healing()
	}
	return v
}

// leaseExpired reports whether this host's lease from the control quorum has expired.
// It is false if the host has had no lease since it started.
func (d *Daemon) leaseExpired() bool {
	l := d.Members.Lease()
	return l.Held && l.Expired
}
