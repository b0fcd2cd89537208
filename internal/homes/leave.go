package homes

// HandedOver reports whether other hosts have taken over every unit whose home
// this host was, or there is no other host.
func (h *Homes) HandedOver() bool {
	v := h.view()
	if len(v.members) == 0 || len(v.members) == 1 && v.members[0].Name == h.Name {
		return true
	}
	for _, b := range v.table.Backends {
		u := h.slotsOf(slotUnitOf(b))
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
