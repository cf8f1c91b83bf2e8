// Package plainservice is a stand-in for a plain service: a catalogue that can
// be read again and again, and bookings and shipments whose every run is
// counted in a ledger.
//
//	GET    /catalogue/{item}           idempotent
//	POST   /bookings, /shipments       JSON with "id"; each run is counted
//	DELETE /bookings/{id}              releases; each run is counted
//	GET    /v1/load                    LoadReport
//	GET    /control/ledger             Ledger
//	POST   /control/slow?factor=F      the delay is multiplied by F
//	POST   /control/leaving?on=BOOL    reports say that the service is leaving
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

// Config says how the service behaves.
type Config struct {
	Instance   string
	CheckKey   bool          // a second call with the same Idempotency-Key gets the first answer
	CheckFence bool          // refuse calls with an old fencing number
	Delay      time.Duration // of each call
}

// Kind of a ledger entry.
type Kind string

// Kinds of ledger entries.
const (
	KindBooking  Kind = "booking"
	KindShipment Kind = "shipment"
	KindRelease  Kind = "release"
)

// Receipt is the answer to a call that ran.
type Receipt struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Run  int    `json:"run"` // 1 at the first run of this id
}

// Item is the answer to a catalogue lookup.
type Item struct {
	Item      string `json:"item"`
	Available bool   `json:"available"`
}

// Ledger counts the runs by id.
type Ledger struct {
	Bookings  map[string]int `json:"bookings"`
	Shipments map[string]int `json:"shipments"`
	Releases  map[string]int `json:"releases"`
	Lookups   int            `json:"lookups"`
	Replayed  int            `json:"replayed"` // answered from the first answer to the key
	Refused   int            `json:"refused"`  // for an old fence
}

// keyed is the answer kept for one key.
type keyed struct {
	done    chan struct{} // closed when the receipt is there
	receipt Receipt
}

// Service is the stand-in. It is an http.Handler.
type Service struct {
	config Config
	mux    *http.ServeMux
	breaks breaker

	mu      sync.Mutex
	slow    float64
	leaving bool
	running int
	fence   uint64
	ledger  Ledger
	keys    map[string]*keyed
}

// New returns a service.
func New(c Config) *Service {
	s := &Service{config: c, mux: http.NewServeMux(), slow: 1, keys: map[string]*keyed{}}
	s.ledger = Ledger{Bookings: map[string]int{}, Shipments: map[string]int{}, Releases: map[string]int{}}
	s.mux.HandleFunc("GET /catalogue/{item}", s.call(s.getItem))
	s.mux.HandleFunc("POST /bookings", s.call(s.post(KindBooking)))
	s.mux.HandleFunc("POST /shipments", s.call(s.post(KindShipment)))
	s.mux.HandleFunc("DELETE /bookings/{id}", s.call(func(w http.ResponseWriter, r *http.Request) {
		s.runOnce(w, r, KindRelease, r.PathValue("id"))
	}))
	s.controlRoutes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call counts a call while it runs and breaks it where that is armed.
func (s *Service) call(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.addRunning(1)
		defer s.addRunning(-1)
		if s.breaks.take(FaultAfterHeaders) {
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
	if s.breaks.take(FaultAfterBody) {
		respond.Abort()
	}
	s.delay()
	s.mu.Lock()
	s.ledger.Lookups++
	s.mu.Unlock()
	s.answer(w, Item{Item: r.PathValue("item"), Available: true})
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

// runOnce runs a call that is not idempotent, or answers it again when its
// key is checked and known.
func (s *Service) runOnce(w http.ResponseWriter, r *http.Request, kind Kind, id string) {
	if s.breaks.take(FaultAfterBody) {
		respond.Abort()
	}
	if !s.admit(r) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	key := r.Header.Get(outcome.HeaderIdempotencyKey)
	if !s.config.CheckKey || key == "" {
		s.delay()
		s.answer(w, s.record(kind, id))
		return
	}
	k, first := s.claim(key)
	if first {
		s.delay()
		k.receipt = s.record(kind, id)
		close(k.done)
	}
	<-k.done
	s.answer(w, k.receipt)
}

// claim returns the kept answer of a key and whether the call is its first.
func (s *Service) claim(key string) (k *keyed, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.keys[key]; ok {
		s.ledger.Replayed++
		return k, false
	}
	k = &keyed{done: make(chan struct{})}
	s.keys[key] = k
	return k, true
}

// admit checks the call's fencing number.
func (s *Service) admit(r *http.Request) bool {
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

// record counts one run.
func (s *Service) record(kind Kind, id string) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.ledger.of(kind)
	runs[id]++
	return Receipt{ID: id, Kind: kind, Run: runs[id]}
}

func (l *Ledger) of(kind Kind) map[string]int {
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
	d := time.Duration(float64(s.config.Delay) * s.slow)
	s.mu.Unlock()
	time.Sleep(d)
}

// answer sends v, or half of it when the answer is to break.
func (s *Service) answer(w http.ResponseWriter, v any) {
	if !s.breaks.take(FaultInResponse) {
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
