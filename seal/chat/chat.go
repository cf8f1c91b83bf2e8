// Package chat issues and opens chat tokens. A caller carries the token of its
// conversation, which tells any daemon where the context is likely warm. The
// token is a hint: a lost or outdated one costs cached context, nothing else.
package chat

import (
	"encoding/json"
	"time"

	"cassialatch.dev/seal/keyring"
)

// Token tells where a conversation ran last.
type Token struct {
	Model     string
	Backend   string // backend server that holds the context
	Tokens    int    // length of the warm context
	Issued    time.Time
	Workspace string // the token is of no use to another workspace
	Prefix    uint64 // hash of the shared prefix
}

// PayloadError tells that a verified text holds no valid chat token.
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

// payload is the sealed form. Fields may be added, never changed: daemons of
// two versions open one another's tokens during an upgrade.
type payload struct {
	Model     string `json:"m"`
	Backend   string `json:"b"`
	Tokens    int    `json:"t"`
	IssuedMs  int64  `json:"i"` // Unix time
	Workspace string `json:"w"`
	Prefix    uint64 `json:"p"`
}

// Issue seals the token.
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
		panic(err) // unreachable: every field type has a JSON form
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
