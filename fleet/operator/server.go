// Package operator is the HTTP server of a daemon for operators. It serves the
// daemon's status, the configuration in force, explanations of placement, drain
// requests, health and readiness checks, and metrics.
//
// The handler is safe for concurrent use if the Node is.
package operator

import (
	"encoding/json"
	"net/http"

	"cassialatch.dev/wire/operatorapi"
)

// Node is the daemon that the server reports on and controls.
type Node interface {
	Status() operatorapi.Status
	Config() (operatorapi.ConfigInForce, bool)
	Explain(workspace, model, chat string) (operatorapi.Explanation, *operatorapi.Error)
	Drain() operatorapi.DrainResponse
	Ready() bool
}

// Handler returns the HTTP handler for operators. The metrics handler serves
// /metrics.
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

// server implements the handlers.
type server struct {
	node Node
}

// status serves the daemon's view of the fleet.
func (s *server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.node.Status())
}

// config serves the configuration in force.
func (s *server) config(w http.ResponseWriter, r *http.Request) {
	config, ok := s.node.Config()
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, operatorapi.Error{Code: "no_configuration", Message: "no configuration is in force yet"})
		return
	}
	writeJSON(w, http.StatusOK, config)
}

// explain serves the explanation of how a request would be placed.
func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	explanation, explainErr := s.node.Explain(query.Get("workspace"), query.Get("model"), query.Get("chat"))
	if explainErr != nil {
		writeJSON(w, http.StatusNotFound, explainErr)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

// drain starts a graceful shutdown.
func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusAccepted, s.node.Drain())
}

// health responds with status 200 while the process serves requests.
func (s *server) health(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready responds with status 200 if callers may use the daemon, otherwise with
// status 503.
func (s *server) ready(w http.ResponseWriter, r *http.Request) {
	if !s.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the operator has disconnected
}
