// Package chat issues and opens chat tokens. A caller sends the token of its
// conversation with each request, and any daemon can read from it which backend
// server probably has the context in its cache. The token is only a routing
// hint: a lost or stale token costs cache hits, but not correctness.
//
// All functions are safe for concurrent use.
package chat

import (
	"encoding/json"
	"time"

	"cassialatch.dev/seal/keyring"
)

// Token records where the last request of a conversation ran.
type Token struct {
	Model     string
	Backend   string // backend server that has the context in its cache
	Tokens    int    // length of the cached context
	Issued    time.Time
	Workspace string // workspace that the token was issued to; not usable by others
	Prefix    uint64 // hash of the shared prefix
}

// PayloadError reports that a text was authentic but holds no valid chat token.
type PayloadError struct{ cause error }

// Error implements error.
func (e *PayloadError) Error() string {
	if e.cause == nil {
		return "chat: incomplete token"
	}
	return "chat: cannot decode token: " + e.cause.Error()
}

// Unwrap returns the decoder's error, if any.
func (e *PayloadError) Unwrap() error { return e.cause }

// payload is the encoding of a token before encryption. Fields may be added but
// never changed: during an upgrade, daemons of two versions open each other's
// tokens.
type payload struct {
	Model     string `json:"m"`
	Backend   string `json:"b"`
	Tokens    int    `json:"t"`
	IssuedMs  int64  `json:"i"` // Unix time in milliseconds
	Workspace string `json:"w"`
	Prefix    uint64 `json:"p"`
}

// Issue returns the sealed form of t.
func Issue(ring *keyring.Ring, t Token) string {
	plain, err := json.Marshal(payload{
		Model:     t.Model,
		Backend:   t.Backend,
		Tokens:    t.Tokens,
		IssuedMs:  t.Issued.UnixMilli(),
		Workspace: t.Workspace,
		Prefix:    t.Prefix,
	})
	if err != nil {
		panic(err) // unreachable: every field type can be encoded as JSON
	}
	return ring.Seal(keyring.PurposeChat, plain)
}

// Open verifies and decodes a chat token. Its error is a keyring.OpenError or
// a *PayloadError.
func Open(ring *keyring.Ring, text string) (Token, error) {
	plain, err := ring.Open(keyring.PurposeChat, text)
	if err != nil {
		return Token{}, err
	}
	return decode(plain)
}

func decode(plain []byte) (Token, error) {
	var p payload
	if err := json.Unmarshal(plain, &p); err != nil {
		return Token{}, &PayloadError{cause: err}
	}
	if p.Model == "" || p.Backend == "" || p.Tokens < 0 {
		return Token{}, &PayloadError{}
	}
	return Token{
		Model:     p.Model,
		Backend:   p.Backend,
		Tokens:    p.Tokens,
		Issued:    time.UnixMilli(p.IssuedMs),
		Workspace: p.Workspace,
		Prefix:    p.Prefix,
	}, nil
}
