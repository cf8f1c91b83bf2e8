package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
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
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a stand-in of the platform's metadata store. It is safe for concurrent
// use.
type Store struct {
	Addr string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
}

// StartStore starts a store on a free port of an IP address.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), revision: 1, items: make(map[string]item)}
	go http.Serve(l, s)
	return s, nil
}

// Put writes the JSON encoding of a value.
func (s *Store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(key, raw)
}

// PutRaw writes a value.
func (s *Store) PutRaw(key string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		e.Created = old.Created
	}
	s.items[key] = e
	s.history = append(s.history, e)
}

// Delete removes an entry.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/kv-range":
		s.serveRange(w, q.Get("pathPrefix"), q.Get("after"))
	case "/kv-watch":
		s.serveWatch(w, q.Get("pathPrefix"), q.Get("after"), q.Get("waitMs"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	e, ok := s.items[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		At int64 `json:"at"`
	}{e, at})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	list := []item{}
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, e)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	const page = 500
	more := len(list) > page
	list = list[:min(len(list), page)]
	respond(w, map[string]any{"entries": list, "hasMore": more, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, prefix, after, waitMS string) {
	from, err1 := strconv.ParseInt(after, 10, 64)
	wait, err2 := strconv.Atoi(waitMS)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events, at := s.since(prefix, from)
		if len(events) > 0 || !time.Now().Before(end) {
			respond(w, map[string]any{"events": events, "at": at})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Store) since(prefix string, after int64) ([]item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
