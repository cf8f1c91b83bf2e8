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

// maxTickets is the maximum number of tickets in one response.
const maxTickets = 64

// Address is the network address of a daemon that accepts callers.
type Address struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
}

// Endpoints is the response to GET /v1/entry: the daemons that a caller may
// use, how long the list is valid, and the tickets that the caller asked for.
type Endpoints struct {
	Addresses []Address `json:"addresses"` // in order of preference
	TTLMs     int64     `json:"ttl_ms"`
	Tickets   []string  `json:"tickets,omitempty"`
}

// serveEndpoints responds with the addresses of available daemons, their time
// to live and the requested number of tickets.
func (s *Server) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	if !s.opts.Ready() {
		writeError(w, outcome.NewNotRun(outcome.CodeNotReady, "daemon is not ready").WithRetryAfter(time.Second))
		return
	}
	draining := s.opts.Directory.Draining()
	if draining {
		w.Header().Set("Connection", "close")
	}
	requested := r.URL.Query().Get("tickets")
	if draining && ticketCount(requested) > 0 {
		writeError(w, errDraining)
		return
	}
	endpoints := Endpoints{
		Addresses: s.availableAddresses(),
		TTLMs:     s.opts.Limits.EntryTTL.Milliseconds(),
		Tickets:   s.issueTickets(ticketCount(requested)),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(endpoints) // fails only if the caller has disconnected
}

// availableAddresses returns the addresses of all daemons that are alive and
// not draining. The order is random, to spread callers over the daemons.
func (s *Server) availableAddresses() []Address {
	var available []member.Daemon
	for _, daemon := range s.opts.Directory.Daemons() {
		if daemon.Alive && !daemon.Draining {
			available = append(available, daemon)
		}
	}
	rand.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	addresses := make([]Address, 0, len(available))
	for _, daemon := range available {
		addresses = append(addresses, Address{ID: daemon.ID, Address: daemon.Address, Zone: daemon.Zone})
	}
	return addresses
}

// errDraining is returned instead of a ticket while this daemon drains, because
// the daemon may have stopped before the ticket is used. Another daemon can
// issue one.
var errDraining = outcome.NewNotRun(outcome.CodeDraining, "daemon is draining: ask another one for tickets")

// ticketCount parses the requested number of tickets and limits it to
// maxTickets. It returns 0 for text that is not a number.
func ticketCount(requested string) int {
	n, err := strconv.Atoi(requested)
	if err != nil {
		return 0
	}
	return min(max(n, 0), maxTickets)
}

// issueTickets returns n new tickets.
func (s *Server) issueTickets(n int) []string {
	tickets := make([]string, 0, n)
	for range n {
		tickets = append(tickets, s.issueTicket())
	}
	return tickets
}

// issueTicket returns a new ticket that binds a request to this incarnation of
// the daemon.
func (s *Server) issueTicket() string {
	return ticket.Issue(s.opts.Ring, ticket.Ticket{
		Executor:    s.opts.Self.Id,
		Peer:        s.opts.Peer,
		Incarnation: s.opts.Self.Incarnation,
		Expires:     s.opts.Now().Add(s.opts.Limits.TicketTTL),
	})
}
