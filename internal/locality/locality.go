// Package locality spreads work over availability zones. A host prefers its
// own zone and sends to others only what its own cannot take. The package is
// pure.
package locality

// target is the share of its capacity up to which a zone takes work before
// some of it overflows to other zones.
const target = 0.8

// Zone is what is known of the backend servers of one service in a zone.
type Zone struct {
	Name      string
	Capacity  float64 // requests that its usable backend servers can run at once
	Load      float64 // requests in progress there
	Reachable bool
}

func (z Zone) usable() bool { return z.Reachable && z.Capacity > 0 }

// spare is the capacity that the zone has left below the target.
func (z Zone) spare() float64 { return max(0, target*z.Capacity-z.Load) }

// Shares returns the share of new work that each zone should get, in the order
// of zones. The shares sum to 1, or are all 0 if no zone can be used. They
// follow the load without steps, so that hosts do not all turn at once.
func Shares(own string, zones []Zone) []float64 {
	shares := make([]float64, len(zones))
	stay := stayShare(own, zones)
	rest := weights(zones, own, func(z Zone) float64 { return z.spare() })
	if sum(rest) == 0 && stay > 0 && stay < 1 {
		// Every zone is full: all take part by their capacity.
		stay = 0
		rest = weights(zones, "", func(z Zone) float64 { return z.Capacity })
	}
	if sum(rest) == 0 {
		rest = weights(zones, own, func(z Zone) float64 { return z.Capacity })
	}
	total := sum(rest)
	for i, z := range zones {
		if z.Name == own {
			shares[i] = stay
		}
		if total > 0 {
			shares[i] += (1 - stay) * rest[i] / total
		}
	}
	return shares
}

// stayShare is the share of the work that the own zone keeps.
func stayShare(own string, zones []Zone) float64 {
	for _, z := range zones {
		if z.Name != own || !z.usable() {
			continue
		}
		if z.Load <= target*z.Capacity {
			return 1
		}
		return target * z.Capacity / z.Load
	}
	return 0
}

func weights(zones []Zone, except string, weight func(Zone) float64) []float64 {
	list := make([]float64, len(zones))
	for i, z := range zones {
		if z.usable() && z.Name != except {
			list[i] = weight(z)
		}
	}
	return list
}

func sum(list []float64) (total float64) {
	for _, v := range list {
		total += v
	}
	return total
}
