// Package ticket issues and opens the tickets that non-idempotent requests need.
// A ticket names the only daemon incarnation that may run the request, so
// at-most-once execution needs no consensus between daemons.
//
// All functions are safe for concurrent use.
package ticket

import (
	"crypto/rand"
	"encoding/json"
	"net"
	"time"

	"cassialatch.dev/seal/keyring"
)

// NonceBytes is the length of a ticket's nonce in bytes.
const NonceBytes = 16

// Ticket permits a single execution of one request by one daemon incarnation.
type Ticket struct {
	Executor    string // VM ID of the daemon that may run the request
	Peer        string // its peer address, host:port
	Incarnation uint64
	Expires     time.Time        // with millisecond precision
	Nonce       [NonceBytes]byte // identifies the ticket
}

// PayloadError reports that a text was authentic but holds no valid ticket.
type PayloadError struct{ cause error }

// Error implements error.
func (e *PayloadError) Error() string {
	if e.cause == nil {
		return "ticket: incomplete ticket"
	}
	return "ticket: cannot decode ticket: " + e.cause.Error()
}

// Unwrap returns the decoder's error, if any.
func (e *PayloadError) Unwrap() error { return e.cause }

// payload is the encoding of a ticket before encryption. Fields may be added but
// never changed: during an upgrade, daemons of two versions open each other's
// tickets.
type payload struct {
	Executor    string `json:"x"`
	Peer        string `json:"p"`
	Incarnation uint64 `json:"i"`
	ExpiresMs   int64  `json:"e"` // Unix time in milliseconds
	Nonce       []byte `json:"n"`
}

// Issue returns the sealed form of t. If the nonce of t is zero, the ticket gets
// a random one.
func Issue(ring *keyring.Ring, t Ticket) string {
	if t.Nonce == [NonceBytes]byte{} {
		rand.Read(t.Nonce[:]) // never fails: the program crashes if the system has no randomness
	}
	plain, err := json.Marshal(payload{
		Executor:    t.Executor,
		Peer:        t.Peer,
		Incarnation: t.Incarnation,
		ExpiresMs:   t.Expires.UnixMilli(),
		Nonce:       t.Nonce[:],
	})
	if err != nil {
		panic(err) // unreachable: every field type can be encoded as JSON
	}
	return ring.Seal(keyring.PurposeTicket, plain)
}

// Open verifies and decodes a ticket. It does not check the expiry, which is left
// to the executor. Its error is a keyring.OpenError or a *PayloadError.
func Open(ring *keyring.Ring, text string) (Ticket, error) {
	plain, err := ring.Open(keyring.PurposeTicket, text)
	if err != nil {
		return Ticket{}, err
	}
	return decode(plain)
}

func decode(plain []byte) (Ticket, error) {
	var p payload
	if err := json.Unmarshal(plain, &p); err != nil {
		return Ticket{}, &PayloadError{cause: err}
	}
	if p.Executor == "" || len(p.Nonce) != NonceBytes {
		return Ticket{}, &PayloadError{}
	}
	if _, _, err := net.SplitHostPort(p.Peer); err != nil {
		return Ticket{}, &PayloadError{cause: err}
	}
	return Ticket{
		Executor:    p.Executor,
		Peer:        p.Peer,
		Incarnation: p.Incarnation,
		Expires:     time.UnixMilli(p.ExpiresMs),
		Nonce:       [NonceBytes]byte(p.Nonce),
	}, nil
}
