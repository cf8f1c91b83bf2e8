package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cassialatch.dev/fleet/member"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/ticket"
)

// maxTickets bounds the tickets of one entry answer.
const maxTickets = 64

// Address is one daemon that callers may use.
type Address struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
}

// Endpoints is the answer to GET /v1/entry.
type Endpoints struct {
	Addresses []Address `json:"addresses"` // the preferred one first
	TTLMs     int64     `json:"ttl_ms"`
	Tickets   []string  `json:"tickets,omitempty"`
}

// serveEntry tells a caller which addresses to use, for how long, and gives it
// tickets.
func (s *Server) serveEntry(w http.ResponseWriter, r *http.Request) {
	if !s.opts.Ready() {
		writeError(w, outcome.NewNotRun(outcome.CodeNotReady, "daemon is not ready").WithRetryAfter(time.Second))
		return
	}
	draining := s.opts.Directory.Draining()
	if draining {
		w.Header().Set("Connection", "close")
	}
	asked := r.URL.Query().Get("tickets")
	if draining && ticketCount(asked) > 0 {
		writeError(w, errDraining)
		return
	}
	answer := Endpoints{
		Addresses: s.addresses(),
		TTLMs:     s.opts.Limits.EntryTTL.Milliseconds(),
		Tickets:   s.tickets(ticketCount(asked)),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the caller may be gone
}

// addresses returns the daemons that serve, in random order so that callers
// spread; daemons that drain or are not heard are left out.
func (s *Server) addresses() []Address {
	var open []member.Daemon
	for _, daemon := range s.opts.Directory.Daemons() {
		if daemon.Alive && !daemon.Draining {
			open = append(open, daemon)
		}
	}
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	addresses := make([]Address, 0, len(open))
	for _, daemon := range open {
		addresses = append(addresses, Address{ID: daemon.ID, Address: daemon.Address, Zone: daemon.Zone})
	}
	return addresses
}

// errDraining refuses a ticket of this daemon, which may be gone before the
// ticket is used. Another daemon gives one.
var errDraining = outcome.NewNotRun(outcome.CodeDraining, "daemon is draining: ask another one for tickets")

// ticketCount returns how many tickets to give when so many are asked for.
func ticketCount(asked string) int {
	n, err := strconv.Atoi(asked)
	if err != nil {
		return 0
	}
	return min(max(n, 0), maxTickets)
}

// tickets returns n new tickets.
func (s *Server) tickets(n int) []string {
	tickets := make([]string, 0, n)
	for range n {
		tickets = append(tickets, s.ticket())
	}
	return tickets
}

// ticket returns a new ticket that names this incarnation.
func (s *Server) ticket() string {
	return ticket.Issue(s.opts.Ring, ticket.Ticket{
		Executor:    s.opts.Self.Id,
		Peer:        s.opts.Peer,
		Incarnation: s.opts.Self.Incarnation,
		Expires:     s.opts.Now().Add(s.opts.Limits.TicketTTL),
	})
}
