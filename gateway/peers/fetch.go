package peers

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/wire/httpvalid"
)

// statePath is the HTTP path at which a daemon serves its state to peers.
const statePath = "/v1/state"

// stateResponse is a State with the age of its confirmation. The configuration
// document is compressed because the link of a small VM may not transfer a large
// document within the time limit for a configuration to be in force.
type stateResponse struct {
	catalog.State
	Packed []byte `json:"packed,omitempty"` // compressed document; State.Raw is empty
	AgeMS  int64  `json:"age_ms"`           // age of the confirmation in milliseconds
}

// packer compresses each revision of the configuration document once. It is safe
// for concurrent use.
type packer struct {
	mu     sync.Mutex
	rev    int64 // store revision of the packed document
	packed []byte
}

// pack returns the compressed configuration document of a state.
func (p *packer) pack(s *catalog.State) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rev == s.RawRev {
		return p.packed
	}
	var buf bytes.Buffer
	// These calls can't fail: the level is valid, and writes to a buffer succeed.
	w, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = w.Write(s.Raw)
	_ = w.Close()
	p.rev, p.packed = s.RawRev, buf.Bytes()
	return p.packed
}

// unpack decompresses the document into State.Raw. It returns an error of type
// *http.MaxBytesError for a document of more than maxDocument bytes.
func (r *stateResponse) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	document := flate.NewReader(bytes.NewReader(r.Packed))
	raw, err := io.ReadAll(http.MaxBytesReader(nil, document, maxDocument))
	r.Raw, r.Packed = raw, nil
	return err
}

// StateHandler returns a handler that serves the state in force to peers, or
// status 503 before the state is confirmed for the first time. The configuration
// document is omitted if the query parameter "config" shows that the peer has it.
func StateHandler(c *catalog.Catalog) http.Handler {
	var p packer
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		age, ok := c.Age()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response := stateResponse{State: c.State(), AgeMS: age.Milliseconds() + 1}
		if peerRev, err := strconv.ParseInt(r.URL.Query().Get("config"), 10, 64); err == nil && peerRev >= response.RawRev {
			response.Raw = nil
		}
		if len(response.Raw) > 0 {
			response.Packed = p.pack(&response.State)
			response.Raw = nil
		}
		w.Header().Set("Content-Type", "application/json")
		// A write fails if the peer has disconnected; it fetches the state again.
		_ = json.NewEncoder(w).Encode(&response)
	})
	return mux
}

// Adopter adopts states fetched from peers.
type Adopter interface {
	// AdoptFromPeer adopts a state that was complete at the given time. The
	// origin is the IP address of the peer.
	AdoptFromPeer(origin string, s catalog.State, at boottime.Instant)
}

// FetchLog records fetches that failed.
type FetchLog interface {
	// PeerFetchFailed is called when the state of the peer at an IP address could
	// not be fetched.
	PeerFetchFailed(ip string, took time.Duration, err error)
}

// HTTPFetcher fetches states from peers over HTTP. It implements Fetcher and is
// safe for concurrent use.
type HTTPFetcher struct {
	client  *http.Client
	catalog *catalog.Catalog
	clock   boottime.Clock
	port    string
	adopter Adopter
	log     FetchLog

	mu        sync.Mutex
	fetching  map[string]bool  // IP addresses of the peers that are being fetched from
	startedAt boottime.Instant // when the latest fetch started
}

const (
	fetchTimeout = 1200 * time.Millisecond
	// hedgeDelay is how long a fetch may be in progress before a state is fetched
	// from another peer too: the first peer may have frozen or been cut off.
	hedgeDelay     = 300 * time.Millisecond
	maxFetches     = 3        // at the same time
	maxHeaderBytes = 16 << 10 // of a response, with those of interim (1xx) responses
	maxStateBytes  = 8 << 20  // of a response, with the compressed document
	maxDocument    = 16 << 20 // bytes, decompressed
)

// errNotConfirmed is the cause of a FetchError for a response that is not a
// confirmed state.
var errNotConfirmed = errors.New("response is not a confirmed state")

// FetchError is returned when the state of a peer can't be fetched.
type FetchError struct {
	IP     string
	Status int   // HTTP status; 0 if it was 200 or there was no response
	Cause  error // of type *http.MaxBytesError if the response is too large
}

// Error implements error.
func (e *FetchError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("peers: GET %s from %s: status %d", statePath, e.IP, e.Status)
	}
	return fmt.Sprintf("peers: GET %s from %s: %v", statePath, e.IP, e.Cause)
}

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Cause }

// NewFetcher returns a fetcher that connects to peers at the given port and passes
// their states to the adopter.
func NewFetcher(c *catalog.Catalog, clock boottime.Clock, port string, a Adopter, log FetchLog) *HTTPFetcher {
	return &HTTPFetcher{
		client: &http.Client{
			Timeout: fetchTimeout,
			Transport: httpvalid.Transport{Transport: &http.Transport{
				DisableKeepAlives:      true, // a connection may have fallen silent since it was last used
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		catalog: c,
		clock:   clock,
		port:    port,
		adopter: a,
		log:     log,

		fetching: make(map[string]bool),
	}
}

// Fetch fetches the state of a peer in the background. It does nothing if a fetch
// from this peer, a recent one from another peer or maxFetches are in progress.
func (f *HTTPFetcher) Fetch(ctx context.Context, ip string) {
	if !f.begin(ip) {
		return
	}
	go func() {
		defer f.end(ip)
		start := f.clock()
		// A failed fetch is repeated after the peer's next datagram.
		if err := f.fetch(ctx, ip); err != nil {
			f.log.PeerFetchFailed(ip, f.clock().Sub(start), err)
		}
	}()
}

// begin records the start of a fetch. It returns false if none may start.
func (f *HTTPFetcher) begin(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if f.fetching[ip] || len(f.fetching) >= maxFetches {
		return false
	}
	if len(f.fetching) > 0 && now.Sub(f.startedAt) < hedgeDelay {
		return false
	}
	f.fetching[ip], f.startedAt = true, now
	return true
}

// end records the end of a fetch.
func (f *HTTPFetcher) end(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.fetching, ip)
}

// fetch fetches the state of a peer and passes it to the adopter. The confirmation
// is dated from the start of the request, so it never appears fresher than it is.
// Errors are of type *FetchError.
func (f *HTTPFetcher) fetch(ctx context.Context, ip string) error {
	sent := f.clock()
	response, err := f.get(ctx, ip)
	if err != nil {
		return err
	}
	at := sent.Add(-time.Duration(response.AgeMS) * time.Millisecond)
	f.adopter.AdoptFromPeer(ip, response.State, at)
	return nil
}

// get requests the state of a peer. Errors are of type *FetchError.
func (f *HTTPFetcher) get(ctx context.Context, ip string) (*stateResponse, error) {
	url := fmt.Sprintf("http://%s:%s%s?config=%d", ip, f.port, statePath, f.catalog.State().RawRev)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &FetchError{IP: ip, Cause: err}
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, &FetchError{IP: ip, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &FetchError{IP: ip, Status: resp.StatusCode}
	}
	response, err := decodeResponse(resp.Body)
	if err != nil {
		return nil, &FetchError{IP: ip, Cause: err}
	}
	return response, nil
}

// decodeResponse decodes a state and its configuration document.
func decodeResponse(body io.ReadCloser) (*stateResponse, error) {
	var response stateResponse
	if err := httpvalid.DecodeJSON(http.MaxBytesReader(nil, body, maxStateBytes), &response); err != nil {
		return nil, err
	}
	if response.Revision <= 0 || !isAge(response.AgeMS) {
		return nil, errNotConfirmed
	}
	return &response, response.unpack()
}
