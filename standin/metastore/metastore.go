// Package metastore is a stand-in for the users' metadata store, written from
// its published protocol: items with revisions, ranges, and watches over a
// history that may be dropped.
package metastore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in one answer to a range.
const pageSize = 50

// item is one entry, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Mode tells how the store treats calls.
type Mode int

// Modes.
const (
	Up             Mode = iota
	Busy                // refuses with 503
	Unresponsive        // answers nothing until the caller gives up
	Reset               // closes the connection
	WatchesStalled      // watches hear nothing; reads are answered
)

// Store is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	dropped  int64 // revision up to which the history is gone
	mode     Mode
	calls    int
}

// New returns an empty store.
func New() *Store { return &Store{revision: 1, items: make(map[string]item)} }

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision}
	s.items[key] = it
	s.history = append(s.history, it)
	return s.revision
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped, s.history = s.revision, nil
}

// SetMode changes how calls are treated from now on.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Calls returns the number of calls so far, refused ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		<-r.Context().Done()
		return
	case Reset:
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.key(w, q.Get("key"))
	case "/kv-range":
		s.list(w, q.Get("pathPrefix"), q.Get("after"))
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) key(w http.ResponseWriter, key string) {
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

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var entries []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > pageSize
	entries = entries[:min(len(entries), pageSize)]
	reply(w, struct {
		Entries []item `json:"entries"`
		HasMore bool   `json:"hasMore"`
		At      int64  `json:"at"`
	}{entries, more, at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	const step = 5 * time.Millisecond
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events, at, ok := s.since(q.Get("pathPrefix"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !time.Now().Before(end) {
			reply(w, struct {
				Events []item `json:"events"`
				At     int64  `json:"at"`
			}{events, at})
			return
		}
		time.Sleep(step)
	}
}

// since returns what has changed after a revision; ok is false if that part of
// the history is gone.
func (s *Store) since(prefix string, after int64) (events []item, at int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == WatchesStalled {
		return nil, after, true
	}
	if after < s.dropped {
		return nil, 0, false
	}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone asks again.
	_ = json.NewEncoder(w).Encode(body)
}
