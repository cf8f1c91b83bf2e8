// Package metastore simulates the users' metadata store for tests. It implements
// the store's published protocol: entries with revisions, range reads, and watches
// over a history that can be compacted. Its failures are set by a Mode.
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

// pageSize is the maximum number of entries in the response to a range read.
const pageSize = 50

// entry is a key with its value and revision, or its deletion.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// watchPath is the path of calls that ask for the changes since a revision.
const watchPath = "/kv-watch"

// Mode determines how the store handles calls.
type Mode int

// Modes of a Store.
const (
	Up                  Mode = iota // serves all calls
	Busy                            // responds with status 503
	Unresponsive                    // does not respond until the caller closes the connection
	Reset                           // closes the connection without a response
	WatchesStalled                  // watches return no events; reads work
	WatchesUnresponsive             // watches get no response; reads work
)

// Store is an in-memory metadata store. It implements http.Handler and is safe for
// concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	entries   map[string]entry
	history   []entry
	compacted int64 // revision up to which the history is compacted
	mode      Mode
	calls     int
}

// New returns an empty store in mode Up.
func New() *Store { return &Store{revision: 1, entries: make(map[string]entry)} }

// Put writes an entry and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	s.history = append(s.history, e)
	return s.revision
}

// Delete removes an entry.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, entry{Key: key, Revision: s.revision, Deleted: true})
}

// Compact discards the history up to the current revision. A watch from an older
// revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// SetMode sets the mode for subsequent calls. WatchesStalled applies to watches in
// progress as well.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Calls returns the number of calls so far, including failed ones.
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
	if mode == WatchesUnresponsive && r.URL.Path == watchPath {
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/kv-range":
		s.serveRange(w, q.Get("pathPrefix"), q.Get("after"))
	case watchPath:
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	e, ok := s.entries[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		entry
		At int64 `json:"at"`
	}{e, at})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var entries []entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, e)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > pageSize
	entries = entries[:min(len(entries), pageSize)]
	writeJSON(w, struct {
		Entries []entry `json:"entries"`
		HasMore bool    `json:"hasMore"`
		At      int64   `json:"at"`
	}{entries, more, at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
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
	const pollInterval = 5 * time.Millisecond
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events, at, ok := s.eventsSince(q.Get("pathPrefix"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !time.Now().Before(end) {
			writeJSON(w, struct {
				Events []entry `json:"events"`
				At     int64   `json:"at"`
			}{events, at})
			return
		}
		time.Sleep(pollInterval)
	}
}

// eventsSince returns the changes after a revision and the current revision. It
// reports false if that part of the history has been compacted.
func (s *Store) eventsSince(prefix string, after int64) (events []entry, at int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == WatchesStalled {
		return nil, after, true
	}
	if after < s.compacted {
		return nil, 0, false
	}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected. It will retry.
	_ = json.NewEncoder(w).Encode(body)
}
