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
	ticketBatch  = 4 // tickets asked for at once
)

// Endpoints is a daemon's answer to the question which daemons to use.
type Endpoints struct {
	Addresses []Address `json:"addresses"` // the preferred one first
	TTLMs     int64     `json:"ttl_ms"`
	Tickets   []string  `json:"tickets"`
}

// Address is one daemon that callers may use.
type Address struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
}

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// errNoAddress is an entry answer that names no daemon.
var errNoAddress = errors.New("the entry answer names no address")

// addressBook keeps the entry answer for as long as it holds.
type addressBook struct {
	http      *http.Client
	workspace string
	entries   []string
	known     []string // addresses of the last answer
	expires   time.Time
	tickets   []string
}

func newAddressBook(h *http.Client, workspace string, entries []string, random *rand.Rand) *addressBook {
	shuffled := append([]string(nil), entries...)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return &addressBook{http: h, workspace: workspace, entries: shuffled}
}

// addresses returns the daemons to use, the preferred one first.
func (b *addressBook) addresses(ctx context.Context) ([]string, error) {
	if time.Now().Before(b.expires) {
		return b.known, nil
	}
	if err := b.refresh(ctx, 0); err != nil {
		return nil, err
	}
	return b.known, nil
}

// ticket returns an unused ticket.
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
		return "", errors.New("the entry answer holds no ticket")
	}
	ticket := b.tickets[0]
	b.tickets = b.tickets[1:]
	return ticket, nil
}

// refresh asks the known entry addresses in turn.
func (b *addressBook) refresh(ctx context.Context, tickets int) error {
	var failure error
	for _, entry := range b.entries {
		answer, err := b.ask(ctx, entry, tickets)
		if err == nil {
			b.keep(answer)
			return nil
		}
		failure = errors.CombineErrors(errors.Wrapf(err, "entry %s", entry), failure)
	}
	return failure
}

func (b *addressBook) keep(answer Endpoints) {
	b.known = b.known[:0:0]
	for _, a := range answer.Addresses {
		b.known = append(b.known, a.Address)
	}
	b.tickets = answer.Tickets
	b.expires = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
}

func (b *addressBook) ask(ctx context.Context, entry string, tickets int) (Endpoints, error) {
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
	var answer Endpoints
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return Endpoints{}, err
	}
	if len(answer.Addresses) == 0 {
		return Endpoints{}, errNoAddress
	}
	return answer, nil
}
