// Package operator serves operators over HTTP: status, configuration in force,
// explanations, drain, health and metrics.
package operator

import (
	"encoding/json"
	"net/http"

	"cassialatch.dev/wire/operatorapi"
)

// Node is what the operators' server shows and controls.
type Node interface {
	Status() operatorapi.Status
	Config() (operatorapi.ConfigInForce, bool)
	Explain(workspace, model, chat string) (operatorapi.Explanation, *operatorapi.Error)
	Drain() operatorapi.DrainResponse
	Ready() bool
}

// Handler returns the HTTP handler for operators.
func Handler(node Node, metrics http.Handler) http.Handler {
	s := &server{node: node}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("GET /v1/explain", s.explain)
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", metrics)
	return mux
}

// server holds the handlers.
type server struct {
	node Node
}

// status serves the daemon's view of the fleet.
func (s *server) status(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, s.node.Status())
}

// config serves the configuration in force.
func (s *server) config(w http.ResponseWriter, r *http.Request) {
	config, ok := s.node.Config()
	if !ok {
		reply(w, http.StatusServiceUnavailable, operatorapi.Error{Code: "no_configuration", Message: "no configuration is in force yet"})
		return
	}
	reply(w, http.StatusOK, config)
}

// explain serves the plan for a request.
func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	explanation, failure := s.node.Explain(query.Get("workspace"), query.Get("model"), query.Get("chat"))
	if failure != nil {
		reply(w, http.StatusNotFound, failure)
		return
	}
	reply(w, http.StatusOK, explanation)
}

// drain starts a graceful stop.
func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusAccepted, s.node.Drain())
}

// health tells that the process serves.
func (s *server) health(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready tells whether callers may be sent here.
func (s *server) ready(w http.ResponseWriter, r *http.Request) {
	if !s.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the operator may be gone
}
