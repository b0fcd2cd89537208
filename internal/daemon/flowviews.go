package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// viewCache holds the view of the table in force. Readers take no lock unless
// the table has changed.
type viewCache struct {
	d       *Daemon
	router  *route.Router
	mu      sync.Mutex // serialises the building of views
	current atomic.Pointer[cachedView]
	cut     bool            // guarded by mu
	reached map[string]bool // names of the hosts reached in the cut; guarded by mu
	back    time.Time       // when a cut-off host had its lease back; guarded by mu
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

// refresh notes whether the host's lease has run out. Once it is renewed, the
// records of the time before count.
func (c *viewCache) refresh(now time.Time) {
	out := c.d.leaseOut()
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.cut, c.back = true, time.Time{}
	}
	if !c.cut {
		return
	}
	if !out {
		c.heal(now)
	}
	c.rebuild() // also follows the hosts that are reached
}

// heal leaves the cut-off mode a while after the lease is back.
func (c *viewCache) heal(now time.Time) {
	if c.back.IsZero() {
		c.back = now
	}
	c.router.Heal(route.NewView(c.d.Replica.Table(), c.d.Config.Name, c.router))
	c.cut = now.Sub(c.back) < route.HealDelay
}

func (c *viewCache) rebuild() {
	t := c.d.Replica.Table()
	v := route.NewView(t, c.d.Config.Name, c.router)
	if c.cut {
		v = c.cutOff(v)
	}
	c.current.Store(&cachedView{table: t, view: v})
}

// cutOff returns the view of a host that is cut off. While it heals, the hosts
// that it reached before stand in as they did.
func (c *viewCache) cutOff(v *route.View) *route.View {
	healing := !c.back.IsZero()
	if !healing {
		c.reached = map[string]bool{}
		for _, h := range c.d.Members.Hosts() {
			c.reached[h.Name] = h.State == model.Alive
		}
	}
	v = v.CutOff(func(h table.Host) bool { return c.reached[h.Name] })
	if healing {
		v = v.Healing()
	}
	return v
}

// leaseOut reports whether the lease that this host had from the control
// quorum has run out.
func (d *Daemon) leaseOut() bool {
	l := d.Members.Lease()
	return l.Held && l.Expired
}
