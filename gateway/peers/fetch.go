package peers

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
)

// statePath is where daemons tell each other what is published.
const statePath = "/v1/state"

// stateReply is a State with the age of its confirmation. The configuration
// document is compressed: it may be larger than a small VM's link carries in
// the time in which a configuration has to be in force.
type stateReply struct {
	catalog.State
	Packed []byte `json:"packed,omitempty"` // the document, instead of State.Raw
	AgeMS  int64  `json:"age_ms"`
}

// packer compresses each version of the document once.
type packer struct {
	mu     sync.Mutex
	rev    int64
	packed []byte
}

func (p *packer) pack(s *catalog.State) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rev == s.RawRev {
		return p.packed
	}
	var buf bytes.Buffer
	// Neither fails: the level is valid and a buffer takes all.
	w, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = w.Write(s.Raw)
	_ = w.Close()
	p.rev, p.packed = s.RawRev, buf.Bytes()
	return p.packed
}

// unpack puts the document back in its place.
func (r *stateReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxDocument))
	r.Raw, r.Packed = raw, nil
	return err
}

// StateHandler answers peers with the state in force. The configuration
// document is left out if the peer has it.
func StateHandler(c *catalog.Catalog) http.Handler {
	var p packer
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		age, ok := c.Age()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		reply := stateReply{State: c.State(), AgeMS: age.Milliseconds() + 1}
		if has, err := strconv.ParseInt(r.URL.Query().Get("config"), 10, 64); err == nil && has >= reply.RawRev {
			reply.Raw = nil
		}
		if len(reply.Raw) > 0 {
			reply.Packed = p.pack(&reply.State)
			reply.Raw = nil
		}
		w.Header().Set("Content-Type", "application/json")
		// A peer that has gone asks again when it is back.
		_ = json.NewEncoder(w).Encode(&reply)
	})
	return mux
}

// Adopter takes over a state.
type Adopter interface {
	AdoptFromPeer(origin string, s catalog.State, at boottime.Instant)
}

// HTTPFetcher gets states from peers, one at a time.
type HTTPFetcher struct {
	client  *http.Client
	catalog *catalog.Catalog
	clock   boottime.Clock
	port    string
	adopter Adopter
	busy    atomic.Bool
}

const (
	fetchTimeout = 1200 * time.Millisecond
	maxDocument  = 16 << 20 // bytes
)

// NewFetcher returns a fetcher that asks peers at the given port.
func NewFetcher(c *catalog.Catalog, clock boottime.Clock, port string, a Adopter) *HTTPFetcher {
	return &HTTPFetcher{
		client: &http.Client{
			Timeout:   fetchTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 20 * time.Second, DisableCompression: true},
		},
		catalog: c,
		clock:   clock,
		port:    port,
		adopter: a,
	}
}

// Fetch asks a peer in the background, unless another fetch is under way.
func (f *HTTPFetcher) Fetch(ctx context.Context, ip string) {
	if !f.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.busy.Store(false)
		// A peer that can't be asked is asked again after its next datagram.
		_ = f.fetch(ctx, ip)
	}()
}

func (f *HTTPFetcher) fetch(ctx context.Context, ip string) error {
	sent := f.clock()
	url := fmt.Sprintf("http://%s:%s%s?config=%d", ip, f.port, statePath, f.catalog.State().RawRev)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var reply stateReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	if err := reply.unpack(); err != nil {
		return err
	}
	at := sent.Add(-time.Duration(reply.AgeMS) * time.Millisecond)
	f.adopter.AdoptFromPeer(ip, reply.State, at)
	return nil
}
