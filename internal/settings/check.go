package settings

import (
	"math/bits"
	"slices"

	"greengagequay/internal/fault"
)

// check verifies the rules that involve more than one value of the tree. before
// is the tree that the change was applied to.
func (t Tree) check(before Tree) error {
	owner := map[string]string{}
	for _, service := range t.Services() {
		if err := t.checkService(service, before); err != nil {
			return err
		}
		for _, addr := range t.TextList(Path(service), ServiceAddresses) {
			if other, taken := owner[addr]; taken {
				return fault.New(fault.Invalid, "give each service its own addresses", "address %s belongs to service %q and service %q", addr, other, service)
			}
			owner[addr] = service
		}
	}
	return t.checkOrphans()
}

// checkService verifies that the service has a zone and that its number of buckets
// is a power of two. The number must not change once the service exists, because the
// flows of the service would move.
func (t Tree) checkService(service string, before Tree) error {
	path := Path(service)
	zones := t.TextList(path, ServiceZones)
	if len(zones) == 0 {
		return fault.New(fault.Invalid, "set at least one zone, or unset the key to remove the service", "service %q would be left without an availability zone", service)
	}
	buckets := t.Int(path, FlowBuckets)
	if bits.OnesCount(uint(buckets)) != 1 {
		return fault.New(fault.Invalid, "use a power of two", "setting %q of service %q: %d is not a power of two", FlowBuckets, service, buckets)
	}
	if before.hasService(service) && before.Int(path, FlowBuckets) != buckets {
		return fault.New(fault.Invalid, "create another service with the new number of buckets", "setting %q of service %q cannot change: its flows would move", FlowBuckets, service)
	}
	return nil
}

func (t Tree) hasService(service string) bool {
	_, ok := t.nodes[Path(service)][ServiceZones]
	return ok
}

// checkOrphans refuses values that are set for services or zones that do not
// exist.
func (t Tree) checkOrphans() error {
	for path := range t.nodes {
		if LevelOf(path) < ServiceLevel {
			continue
		}
		service, zone := splitServiceZone(path)
		if !t.hasService(service) {
			return fault.New(fault.Invalid, "set service.zones of the service first", "path %q belongs to service %q, which does not exist", path, service)
		}
		if zone != "" && !slices.Contains(t.TextList(Path(service), ServiceZones), zone) {
			return fault.New(fault.Invalid, "add the zone to service.zones first", "path %q names zone %q, in which service %q does not run", path, zone, service)
		}
	}
	return nil
}
