// Package locality distributes work over availability zones. A host prefers its
// own zone. It sends to other zones only the work that would load its own zone
// beyond targetUtilization. The package has no state and does no I/O.
package locality

// targetUtilization is the share of its capacity up to which a zone is used before
// some of the work overflows to other zones.
const targetUtilization = 0.8

// Zone describes the backend servers of one service in a zone.
type Zone struct {
	Name      string
	Capacity  float64 // number of requests that its usable backend servers can run at once
	Load      float64 // number of requests in progress
	Reachable bool
}

func (z Zone) usable() bool { return z.Reachable && z.Capacity > 0 }

// freeCapacity returns the capacity that is left below targetUtilization.
func (z Zone) freeCapacity() float64 { return max(0, targetUtilization*z.Capacity-z.Load) }

// Shares returns the share of new work that each zone should get, in the order
// of zones. The shares sum to 1, or are all 0 if no zone can be used. They
// change gradually with the load, so that hosts do not all switch to another zone
// at once. Only when the last usable zone reaches targetUtilization do the shares
// change abruptly, to shares by capacity.
func Shares(own string, zones []Zone) []float64 {
	shares := make([]float64, len(zones))
	kept := ownShare(own, zones)
	zoneWeights := weights(zones, own, func(z Zone) float64 { return z.freeCapacity() })
	if sum(zoneWeights) == 0 && kept > 0 && kept < 1 {
		// Every usable zone is at its target: all share the work by capacity.
		kept = 0
		zoneWeights = weights(zones, "", func(z Zone) float64 { return z.Capacity })
	}
	if sum(zoneWeights) == 0 {
		zoneWeights = weights(zones, own, func(z Zone) float64 { return z.Capacity })
	}
	total := sum(zoneWeights)
	for i, z := range zones {
		if z.Name == own {
			shares[i] = kept
		}
		if total > 0 {
			shares[i] += (1 - kept) * zoneWeights[i] / total
		}
	}
	return shares
}

// ownShare returns the share of new work that stays in the own zone.
func ownShare(own string, zones []Zone) float64 {
	for _, z := range zones {
		if z.Name != own || !z.usable() {
			continue
		}
		if z.Load <= targetUtilization*z.Capacity {
			return 1
		}
		return targetUtilization * z.Capacity / z.Load
	}
	return 0
}

// weights returns the weight of each usable zone, and 0 for except and for zones
// that are not usable.
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
