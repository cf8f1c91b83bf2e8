package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"cassialatch.dev/standin/internal/respond"
	"cassialatch.dev/wire/platformapi"
)

func (p *Platform) controlRoutes() {
	p.mux.HandleFunc("PUT /control/documents/{name...}", p.controlDocument)
	p.mux.HandleFunc("PUT /control/vms", p.controlVMs)
	p.mux.HandleFunc("POST /control/vms/{id}/state", p.controlState)
	p.mux.HandleFunc("DELETE /control/vms/{id}", p.controlRemove)
	p.mux.HandleFunc("POST /control/outage", switchHandler(p.SetOutage))
	p.mux.HandleFunc("POST /control/stale", switchHandler(p.SetStale))
	p.mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) {
		respond.JSON(w, p.Calls())
	})
}

func switchHandler(set func(on bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if on, ok := respond.ParseSwitch(w, r); ok {
			set(on)
		}
	}
}

func (p *Platform) controlDocument(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformapi.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var version uint64
	if text := r.URL.Query().Get("version"); text != "" {
		version, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	respond.JSON(w, p.PutDocument(r.PathValue("name"), string(body), version))
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platformapi.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.PutVMs(vms)
}

func (p *Platform) controlState(w http.ResponseWriter, r *http.Request) {
	state := platformapi.State(r.URL.Query().Get("state"))
	if state != platformapi.StateLive && state != platformapi.StateLeaving {
		http.Error(w, "state must be live or leaving", http.StatusBadRequest)
		return
	}
	if !p.SetState(r.PathValue("id"), state) {
		http.NotFound(w, r)
	}
}

func (p *Platform) controlRemove(w http.ResponseWriter, r *http.Request) {
	if !p.RemoveVM(r.PathValue("id")) {
		http.NotFound(w, r)
	}
}
