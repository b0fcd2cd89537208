package fleet

import (
	"encoding/json"
	"net/http"
	"time"

	"greengagequay/internal/evacuation"
	"greengagequay/internal/fault"
)

// EvacuationsPath is the path of the evacuations at the metrics address of a control
// host. GET lists them. POST and DELETE of this path, a slash and a zone start and end
// the evacuation of that zone.
const EvacuationsPath = "/evacuations"

// EvacuationList is the answer to GET EvacuationsPath.
type EvacuationList struct {
	Current  bool              `json:"current"`  // whether the control host could prove that no later order was acknowledged
	Revision uint64            `json:"revision"` // of the latest order that changed a zone, 0 if there was none
	Zones    []EvacuationState `json:"zones"`    // zones that had an order that changed their state, ordered by name
}

// EvacuationState is the state of one zone in an EvacuationList.
type EvacuationState struct {
	Zone      string    `json:"zone"`
	Evacuated bool      `json:"evacuated"`
	Since     time.Time `json:"since"`    // time of day of the order at the control host that received it
	Revision  uint64    `json:"revision"` // of the order
	By        string    `json:"by"`       // name of that control host
}

// ErrorBody is the answer to a call that failed.
type ErrorBody struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}

// evacuationRoutes adds the calls about evacuations to those at the metrics address.
func (h *ControlHost) evacuationRoutes(mux *http.ServeMux) {
	if !h.features.Evacuations {
		return
	}
	mux.HandleFunc("GET "+EvacuationsPath, h.listEvacuations)
	mux.HandleFunc("POST "+EvacuationsPath+"/{zone...}", func(w http.ResponseWriter, r *http.Request) { h.orderEvacuation(w, r, true) })
	mux.HandleFunc("DELETE "+EvacuationsPath+"/{zone...}", func(w http.ResponseWriter, r *http.Request) { h.orderEvacuation(w, r, false) })
}

func (h *ControlHost) listEvacuations(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := h.withTimeout(r.Context(), getTimeout)
	defer cancel()
	current := h.host.Current(ctx) == nil
	writeJSON(w, http.StatusOK, evacuationList(h.evacuations(), current))
}

func evacuationList(set evacuation.Set, current bool) EvacuationList {
	list := EvacuationList{Current: current, Revision: set.Revision, Zones: []EvacuationState{}}
	for _, z := range set.Zones {
		if z.Revision != 0 {
			list.Zones = append(list.Zones, EvacuationState{Zone: z.Zone, Evacuated: z.Evacuated, Since: z.At, Revision: z.Revision, By: z.From})
		}
	}
	return list
}

func (h *ControlHost) orderEvacuation(w http.ResponseWriter, r *http.Request, start bool) {
	if err := h.Evacuate(r.Context(), r.PathValue("zone"), start); err != nil {
		f := fault.From(err)
		writeJSON(w, statusOf(f.Kind), ErrorBody{Kind: f.Kind, Message: f.Message, Remedy: f.Remedy})
	}
}

// statusOf returns the HTTP status of an error at the metrics address.
func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
