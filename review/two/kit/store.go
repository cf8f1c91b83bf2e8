// Package kit holds the stand-ins of the second review: the platform's store,
// backend servers, callers, and a small fleet of the project's own gateways.
// It uses the standard library only, and loopback addresses.
package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the platform's metadata store: linearizable, with the whole history.
type Store struct {
	Addr string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	busy     bool // all calls get 503
	history  []item
	srv      *http.Server
}

// pageItems is the number of items on a page of a range read.
const pageItems = 500

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), revision: 1, items: make(map[string]item)}
	s.srv = &http.Server{Handler: s}
	go s.srv.Serve(l)
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { s.srv.Close() }

// Put writes an item. The time at which it returns is that of the acknowledgement.
func (s *Store) Put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	return time.Now()
}

// PutJSON writes an item whose value is a JSON document.
func (s *Store) PutJSON(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // can't happen: documents of this package can be encoded
	}
	return s.Put(key, raw)
}

// Delete removes an item.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	return time.Now()
}

// SetBusy makes the store turn all calls away with 503, or serve them again.
func (s *Store) SetBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *Store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/kv-range":
		s.serveRange(w, q.Get("pathPrefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, q.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		At int64 `json:"at"`
	}{it, at})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	more := len(entries) > pageItems
	if more {
		entries = entries[:pageItems]
	}
	reply(w, map[string]any{"entries": entries, "hasMore": more, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, prefix string, after int64, wait time.Duration) {
	end := time.Now().Add(wait)
	for {
		events := []item{}
		s.mu.Lock()
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		at := s.revision
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(end) {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}
