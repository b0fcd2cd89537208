package fleet

import (
	"context"
	"time"

	"greengagequay/internal/evacuation"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
	"greengagequay/internal/state"
)

// Evacuate starts or ends the evacuation of a zone, and returns once the order is
// durable on a quorum.
func (h *ControlHost) Evacuate(ctx context.Context, zone string, start bool) error {
	err := h.evacuate(ctx, zone, start)
	h.log.Event("evacuation", "answered an operator's order about a zone", eventlog.Fields{
		"zone": zone, "start": start, "outcome": outcomeOf(err),
	})
	return err
}

func (h *ControlHost) evacuate(ctx context.Context, zone string, start bool) error {
	if !h.features.Evacuations {
		return fault.New(fault.Invalid, "add the contract to the settings of all hosts", "this deployment's contracts do not include evacuations")
	}
	if err := evacuation.CheckZone(zone, h.knowsZone); err != nil {
		return err
	}
	ctx, cancel := h.withTimeout(context.WithoutCancel(ctx), putTimeout)
	defer cancel()
	latest, _ := h.evacuations().Find(zone)
	result, err := h.host.Propose(ctx, state.Command{Evacuation: &evacuation.Order{
		Zone: zone, Evacuate: start, Base: latest.Revision, At: time.Now().UTC(), From: h.cfg.Name,
	}})
	if err == nil && result.Err != nil {
		return result.Err
	}
	return err
}

// evacuations returns the orders in the replica.
func (h *ControlHost) evacuations() evacuation.Set {
	var set evacuation.Set
	h.replica.Read(func(s *state.State) { set = s.Evacuations })
	return set
}

// knowsZone reports whether the settings or a backend server name a zone.
func (h *ControlHost) knowsZone(zone string) bool {
	if _, ok := h.cfg.Zones[zone]; ok {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog.HasZone(zone)
}
