// Package plainservice simulates a plain service for tests, benchmarks and demos. It
// has a catalogue with idempotent lookups, and bookings and shipments that are not
// idempotent: a ledger counts each of their runs. A Service is safe for concurrent
// use.
//
//	GET    /catalogue/{item}           idempotent
//	POST   /bookings, /shipments       JSON with "id"; each run is counted
//	DELETE /bookings/{id}              releases; each run is counted
//	GET    /v1/load                    LoadReport
//	GET    /control/ledger             Ledger
//	POST   /control/slow?factor=F      multiplies the delay by F
//	POST   /control/leaving?on=BOOL    sets the leaving flag of load reports
//	POST   /control/break?at=P&n=N     closes the connection of the next N calls at point P
package plainservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/internal/respond"
	"cassialatch.dev/wire/engineapi"
)

const maxBodyBytes = 1 << 20

// Config sets the behavior of a service.
type Config struct {
	Instance   string        // ID of the process instance
	CheckKey   bool          // respond to a repeated Idempotency-Key with the first response
	CheckFence bool          // refuse calls with a fencing number below the highest seen
	Delay      time.Duration // duration of each call
}

// Kind is the kind of a ledger entry.
type Kind string

// Kinds of ledger entries.
const (
	KindBooking  Kind = "booking"
	KindShipment Kind = "shipment"
	KindRelease  Kind = "release"
)

// Receipt is the response to a call that ran.
type Receipt struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Run  int    `json:"run"` // number of runs of this ID so far, 1 for the first
}

// Item is the response to a catalogue lookup.
type Item struct {
	Item      string `json:"item"`
	Available bool   `json:"available"`
}

// Ledger counts runs by kind and ID.
type Ledger struct {
	Bookings  map[string]int `json:"bookings"`
	Shipments map[string]int `json:"shipments"`
	Releases  map[string]int `json:"releases"`
	Lookups   int            `json:"lookups"`
	Replayed  int            `json:"replayed"` // calls that got the stored response of their key
	Refused   int            `json:"refused"`  // calls with an old fencing number
}

// storedResponse is the response stored for one key.
type storedResponse struct {
	done    chan struct{} // closed when receipt is set
	receipt Receipt
}

// Service is a simulated plain service. It implements http.Handler.
type Service struct {
	config Config
	mux    *http.ServeMux
	faults faultInjector

	mu       sync.Mutex
	slowdown float64
	leaving  bool
	running  int
	fence    uint64
	ledger   Ledger
	keys     map[string]*storedResponse
}

// New returns a service with an empty ledger.
func New(c Config) *Service {
	s := &Service{config: c, mux: http.NewServeMux(), slowdown: 1, keys: map[string]*storedResponse{}}
	s.ledger = Ledger{Bookings: map[string]int{}, Shipments: map[string]int{}, Releases: map[string]int{}}
	s.mux.HandleFunc("GET /catalogue/{item}", s.instrument(s.getItem))
	s.mux.HandleFunc("POST /bookings", s.instrument(s.post(KindBooking)))
	s.mux.HandleFunc("POST /shipments", s.instrument(s.post(KindShipment)))
	s.mux.HandleFunc("DELETE /bookings/{id}", s.instrument(func(w http.ResponseWriter, r *http.Request) {
		s.runOnce(w, r, KindRelease, r.PathValue("id"))
	}))
	s.controlRoutes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// instrument wraps a handler to count running calls, inject faults and set response
// headers.
func (s *Service) instrument(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.addRunning(1)
		defer s.addRunning(-1)
		if s.faults.consume(FaultAfterHeaders) {
			respond.Abort()
		}
		w.Header().Set(engineapi.HeaderInstance, s.config.Instance)
		if id := r.Header.Get(engineapi.HeaderRequestID); id != "" {
			w.Header().Set(engineapi.HeaderRequestID, id)
		}
		next(w, r)
	}
}

func (s *Service) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

func (s *Service) getItem(w http.ResponseWriter, r *http.Request) {
	if s.faults.consume(FaultAfterBody) {
		respond.Abort()
	}
	s.delay()
	s.mu.Lock()
	s.ledger.Lookups++
	s.mu.Unlock()
	s.sendJSON(w, Item{Item: r.PathValue("item"), Available: true})
}

func (s *Service) post(kind Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			ID string `json:"id"`
		}
		if !respond.DecodeJSON(w, r, maxBodyBytes, &body) {
			return
		}
		if body.ID == "" {
			http.Error(w, "the body must hold an id", http.StatusBadRequest)
			return
		}
		s.runOnce(w, r, kind, body.ID)
	}
}

// runOnce runs a call that is not idempotent. If keys are checked and the call's key
// is known, it sends the stored response instead.
func (s *Service) runOnce(w http.ResponseWriter, r *http.Request, kind Kind, id string) {
	if s.faults.consume(FaultAfterBody) {
		respond.Abort()
	}
	if !s.checkFence(r) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	key := r.Header.Get(outcome.HeaderIdempotencyKey)
	if !s.config.CheckKey || key == "" {
		s.delay()
		s.sendJSON(w, s.record(kind, id))
		return
	}
	k, first := s.reserveKey(key)
	if first {
		s.delay()
		k.receipt = s.record(kind, id)
		close(k.done)
	}
	<-k.done
	s.sendJSON(w, k.receipt)
}

// reserveKey returns the stored response of a key and whether this is the first call
// with the key, which must then set the receipt and close done.
func (s *Service) reserveKey(key string) (k *storedResponse, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.keys[key]; ok {
		s.ledger.Replayed++
		return k, false
	}
	k = &storedResponse{done: make(chan struct{})}
	s.keys[key] = k
	return k, true
}

// checkFence reports whether the call may run: its fencing number is current or
// absent, or fencing numbers are not checked.
func (s *Service) checkFence(r *http.Request) bool {
	fence, err := strconv.ParseUint(r.Header.Get(engineapi.HeaderFence), 10, 64)
	if err != nil || !s.config.CheckFence {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fence {
		s.ledger.Refused++
		return false
	}
	s.fence = fence
	return true
}

// record counts a run and returns its receipt.
func (s *Service) record(kind Kind, id string) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.ledger.runsOf(kind)
	runs[id]++
	return Receipt{ID: id, Kind: kind, Run: runs[id]}
}

func (l *Ledger) runsOf(kind Kind) map[string]int {
	switch kind {
	case KindShipment:
		return l.Shipments
	case KindRelease:
		return l.Releases
	default:
		return l.Bookings
	}
}

func (s *Service) delay() {
	s.mu.Lock()
	d := time.Duration(float64(s.config.Delay) * s.slowdown)
	s.mu.Unlock()
	time.Sleep(d)
}

// sendJSON sends v as JSON. If a fault is injected, it sends half of the response
// and aborts the connection.
func (s *Service) sendJSON(w http.ResponseWriter, v any) {
	if !s.faults.consume(FaultInResponse) {
		respond.JSON(w, v)
		return
	}
	body, err := json.Marshal(v)
	if err != nil {
		respond.Abort()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	respond.Abort()
}
