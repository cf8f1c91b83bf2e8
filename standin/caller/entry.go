package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	entryTimeout = 2 * time.Second
	ticketBatch  = 4 // tickets requested at once
)

// Endpoints is the response of an entry address: the daemons to use, how long the
// list is valid, and tickets.
type Endpoints struct {
	Addresses []Address `json:"addresses"` // in order of preference
	TTLMs     int64     `json:"ttl_ms"`
	Tickets   []string  `json:"tickets"`
}

// Address identifies a daemon that serves callers.
type Address struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "unexpected HTTP status " + strconv.Itoa(e.Status) }

// errNoAddress reports an entry response without daemons.
var errNoAddress = errors.New("entry response contains no address")

// addressBook caches the entry response until it expires.
type addressBook struct {
	http      *http.Client
	workspace string
	entries   []string
	known     []string // addresses of the last entry response
	expires   time.Time
	tickets   []string
}

func newAddressBook(h *http.Client, workspace string, entries []string, random *rand.Rand) *addressBook {
	shuffled := append([]string(nil), entries...)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return &addressBook{http: h, workspace: workspace, entries: shuffled}
}

// addresses returns the host:port of each daemon in order of preference.
func (b *addressBook) addresses(ctx context.Context) ([]string, error) {
	if time.Now().Before(b.expires) {
		return b.known, nil
	}
	if err := b.refresh(ctx, 0); err != nil {
		return nil, err
	}
	return b.known, nil
}

// ticket returns an unused ticket and requests a new batch if there is none.
func (b *addressBook) ticket(ctx context.Context) (string, error) {
	if time.Now().After(b.expires) {
		b.tickets = nil
	}
	if len(b.tickets) == 0 {
		if err := b.refresh(ctx, ticketBatch); err != nil {
			return "", err
		}
	}
	if len(b.tickets) == 0 {
		return "", errors.New("entry response contains no ticket")
	}
	ticket := b.tickets[0]
	b.tickets = b.tickets[1:]
	return ticket, nil
}

// refresh queries the entry addresses in turn until one responds, and requests
// the given number of tickets.
func (b *addressBook) refresh(ctx context.Context, tickets int) error {
	var failure error
	for _, entry := range b.entries {
		endpoints, err := b.fetch(ctx, entry, tickets)
		if err == nil {
			b.store(endpoints)
			return nil
		}
		failure = errors.CombineErrors(errors.Wrapf(err, "entry %s", entry), failure)
	}
	return failure
}

func (b *addressBook) store(endpoints Endpoints) {
	b.known = b.known[:0:0]
	for _, a := range endpoints.Addresses {
		b.known = append(b.known, a.Address)
	}
	b.tickets = endpoints.Tickets
	b.expires = time.Now().Add(time.Duration(endpoints.TTLMs) * time.Millisecond)
}

func (b *addressBook) fetch(ctx context.Context, entry string, tickets int) (Endpoints, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	query := url.Values{"workspace": {b.workspace}, "tickets": {strconv.Itoa(tickets)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entry?"+query.Encode(), nil)
	if err != nil {
		return Endpoints{}, err
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return Endpoints{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Endpoints{}, &StatusError{Status: resp.StatusCode}
	}
	var endpoints Endpoints
	if err := json.NewDecoder(resp.Body).Decode(&endpoints); err != nil {
		return Endpoints{}, err
	}
	if len(endpoints.Addresses) == 0 {
		return Endpoints{}, errNoAddress
	}
	return endpoints, nil
}
