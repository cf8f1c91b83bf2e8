// Package ticket issues and opens the tickets under which non-idempotent
// requests run. A ticket names the one daemon incarnation that may run the
// request, so that no agreement between daemons is needed.
package ticket

import (
	"crypto/rand"
	"encoding/json"
	"net"
	"time"

	"cassialatch.dev/seal/keyring"
)

// NonceBytes is the length of a ticket's nonce.
const NonceBytes = 16

// Ticket allows one request to run once, at one daemon incarnation.
type Ticket struct {
	Executor    string // VM id of the daemon that may run the request
	Peer        string // its peer address, host:port
	Incarnation uint64
	Expires     time.Time        // to the millisecond
	Nonce       [NonceBytes]byte // identifies the ticket
}

// PayloadError tells that a verified text holds no valid ticket.
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

// payload is the sealed form. Fields may be added, never changed: daemons of
// two versions open one another's tickets during an upgrade.
type payload struct {
	Executor    string `json:"x"`
	Peer        string `json:"p"`
	Incarnation uint64 `json:"i"`
	ExpiresMs   int64  `json:"e"` // Unix time
	Nonce       []byte `json:"n"`
}

// Issue seals the ticket. It draws the nonce when that is zero.
func Issue(ring *keyring.Ring, t Ticket) string {
	if t.Nonce == [NonceBytes]byte{} {
		rand.Read(t.Nonce[:]) // never fails: the runtime aborts instead
	}
	plain, err := json.Marshal(payload{
		Executor:    t.Executor,
		Peer:        t.Peer,
		Incarnation: t.Incarnation,
		ExpiresMs:   t.Expires.UnixMilli(),
		Nonce:       t.Nonce[:],
	})
	if err != nil {
		panic(err) // unreachable: every field type has a JSON form
	}
	return ring.Seal(keyring.PurposeTicket, plain)
}

// Open verifies and decodes a ticket. It does not look at the expiry, which
// only the executor may judge. Its error is a keyring.OpenError or a
// *PayloadError.
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
