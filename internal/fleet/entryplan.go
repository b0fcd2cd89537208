package fleet

import (
	"cmp"
	"slices"

	"greengagequay/internal/admission"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/steering"
)

// entryPlan is which part of an entry host's new flows goes to other zones, and which is
// refused.
type entryPlan struct {
	from     string // feed address of the control host
	shares   []steering.ZoneShare
	refusals []admission.Refusal
}

func (p entryPlan) equal(other entryPlan) bool {
	return p.from == other.from && slices.Equal(p.shares, other.shares) && slices.Equal(p.refusals, other.refusals)
}

// zonePlans holds the latest plan of each followed control host, and the one in force:
// that of a control host with a quorum if there is one, since the others may see a part
// of the demand only, and of several the latest. The zero value holds none.
type zonePlans struct {
	hosts    map[string]*hostPlan // by feed address
	received uint64               // number of plans received
	inForce  entryPlan
}

type hostPlan struct {
	current bool   // whether the control host reaches a quorum
	order   uint64 // zonePlans.received when plan arrived, 0 before
	plan    entryPlan
}

// receive records what an update of a control host says about plans for a zone. It
// reports whether another plan is in force.
func (p *zonePlans) receive(addr, zone string, u feed.Update) bool {
	host := p.hosts[addr]
	if host == nil {
		if p.hosts == nil {
			p.hosts = map[string]*hostPlan{}
		}
		host = &hostPlan{}
		p.hosts[addr] = host
	}
	host.current = u.Current
	if u.HasPlan {
		p.received++
		host.order, host.plan = p.received, entryPlan{from: addr, refusals: u.Refusals}
		for _, s := range u.Plan {
			if s.From == zone {
				host.plan.shares = append(host.plan.shares, steering.ZoneShare{Service: s.Service, Zone: s.To, Share: s.Share})
			}
		}
	}
	return p.update()
}

// drop removes the plan of a control host that disconnected. It reports whether another
// plan is in force.
func (p *zonePlans) drop(addr string) bool {
	delete(p.hosts, addr)
	return p.update()
}

// update puts the best plan in force. Without a control host the shares stay, but not the
// refusals: nobody would withdraw them when there is room again.
func (p *zonePlans) update() bool {
	best := &hostPlan{plan: entryPlan{shares: p.inForce.shares}}
	for _, host := range p.hosts {
		if host.order > 0 && (best.order == 0 || host.isBetter(best)) {
			best = host
		}
	}
	changed := !best.plan.equal(p.inForce)
	p.inForce = best.plan
	return changed
}

func (h *hostPlan) isBetter(other *hostPlan) bool {
	if h.current != other.current {
		return h.current
	}
	return cmp.Less(other.order, h.order)
}

// applyPlan makes the steerer use the plan in force. The caller holds mu.
func (h *EntryHost) applyPlan() {
	p := h.plans.inForce
	h.steerer.SetPlan(p.shares, p.refusals)
	if h.log.Allow("plan") {
		h.log.Write("plan", "other fractions of new flows leave the zone or are refused", eventlog.Fields{
			"from": p.from, "away": p.shares, "refusals": p.refusals,
		})
	}
}
