package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"cassialatch.dev/standin/runner"
)

// kinds are the routes that callers use.
var kinds = []string{"safe", "unsafe", "stream"}

// result is what a caller saw of one request.
type result struct {
	id     string
	kind   string
	key    string
	sent   time.Time // when the caller began to look for an address
	posted time.Time // when it handed the request to its connection
	ended  time.Time
	status int // of the answer, or one of those below
	detail string
}

// Ends of a request without a status.
const (
	broken      = 0  // no answer, or one that broke off
	notWhole    = -1 // another body than the server's
	unconnected = -2 // no daemon took the connection
)

// caller sends requests one after the other, over connections that it keeps.
type caller struct {
	f      *fleet
	name   string
	rng    *rand.Rand
	client *http.Client

	addresses []string
	until     time.Time

	mu      *sync.Mutex
	results *[]result
}

func newCaller(f *fleet, name string, rng *rand.Rand, mu *sync.Mutex, results *[]result) *caller {
	return &caller{f: f, name: name, rng: rng, mu: mu, results: results,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.once(ctx, fmt.Sprintf("%s-%d", c.name, n), kinds[c.rng.IntN(len(kinds))], c.f.key(c.rng))
		time.Sleep(time.Duration(c.rng.IntN(8)) * time.Millisecond)
	}
}

// key returns a key that was in force a moment ago, or is no longer.
func (f *fleet) key(rng *rand.Rand) string { return fmt.Sprint("key-", rng.IntN(4)) }

// once sends one request and notes its result.
func (c *caller) once(ctx context.Context, id, kind, key string) result {
	const patience = 4 * time.Second
	r := result{id: id, kind: kind, key: key, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r.status, r.detail = c.send(ctx, &r, patience)
	r.ended = time.Now()
	if ctx.Err() == context.Canceled {
		return r // the soak is over
	}
	c.mu.Lock()
	*c.results = append(*c.results, r)
	c.mu.Unlock()
	return r
}

func (c *caller) send(ctx context.Context, r *result, patience time.Duration) (int, string) {
	address := c.address(ctx)
	if address == "" {
		return unconnected, "no address"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+r.kind+"/x", strings.NewReader("body of "+r.id))
	if err != nil {
		return broken, err.Error()
	}
	req.Host = "soak.example"
	req.Header.Set("Cassialatch-Attempt-Id", r.id)
	req.Header.Set("Cassialatch-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Cassialatch-Tenant", "forged")
	r.posted = time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.until = time.Time{}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return unconnected, err.Error()
		}
		return broken, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken, err.Error()
	}
	if resp.StatusCode == http.StatusOK && string(body) != expected(r) {
		return notWhole, fmt.Sprintf("got %q", body)
	}
	return resp.StatusCode, ""
}

// expected is the whole answer to a request.
func expected(r *result) string {
	if r.kind != "stream" {
		return runner.Body(r.id)
	}
	var b strings.Builder
	for n := 1; n <= runner.EventCount(r.id); n++ {
		b.WriteString(runner.Event(r.id, n))
	}
	return b.String()
}

// address returns one of the addresses that the fleet names, asked for anew
// when the last answer has expired.
func (c *caller) address(ctx context.Context) string {
	if time.Now().After(c.until) {
		for range 3 {
			if c.resolve(ctx) {
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *caller) resolve(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	d := c.f.daemons[c.rng.IntN(len(c.f.daemons))]
	url := fmt.Sprintf("http://%s:%d/resolution?name=soak.example&region=r&zone=a", d.ip, directoryPort)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	c.addresses = answer.Addresses
	c.until = time.Now().Add(time.Duration(answer.TTLS * float64(time.Second)))
	return true
}
