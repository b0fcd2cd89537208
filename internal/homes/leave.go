package homes

// Ready reports whether this host serves every unit of which it is the home.
func (h *Homes) Ready() bool {
	v := h.view()
	if v.process(h.Name) != h.self {
		return false
	}
	for _, b := range v.table.Backends {
		if v.slotHome(b) != h.Name {
			continue
		}
		u := h.slotUnitByName(slotUnitName(b))
		u.mu.Lock()
		serves := u.core.Serves(v.now)
		u.mu.Unlock()
		if !serves {
			return false
		}
	}
	for _, u := range h.shards {
		home := v.shardPairs[u.name].home
		u.mu.Lock()
		serves := u.core.Serves(v.now)
		u.mu.Unlock()
		if home.Name == h.Name && !serves {
			return false
		}
	}
	return true
}

// HandedOver reports whether other hosts have claimed every unit of which this
// host was the home. It also returns true if no other host can be a home.
func (h *Homes) HandedOver() bool {
	v := h.view()
	if len(v.members) == 0 || len(v.members) == 1 && v.members[0].Name == h.Name {
		return true
	}
	for _, b := range v.table.Backends {
		u := h.slotUnitByName(slotUnitName(b))
		u.mu.Lock()
		own := u.core.Home() == h.self
		u.mu.Unlock()
		if own {
			return false
		}
	}
	for _, u := range h.shards {
		u.mu.Lock()
		own := u.core.Home() == h.self
		u.mu.Unlock()
		if own {
			return false
		}
	}
	return true
}
