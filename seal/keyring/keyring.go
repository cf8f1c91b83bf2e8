// Package keyring seals small texts that callers carry for the fleet, so that
// any daemon can open them and nobody else can read or change them.
//
// A sealed text is "<key id>.<base64url(salt || ciphertext || tag)>". Each text
// is encrypted by AES-256-GCM under a key and nonce of its own, which HKDF
// derives from the secret, the purpose and a random salt. A salt of 192 bits
// has no practical limit on the number of texts for one secret, where random
// 96-bit nonces under one key would be worn out after some 2^32 of them.
package keyring

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
)

const (
	// MaxTextBytes is the longest sealed text that Open looks at.
	MaxTextBytes = 4096
	// MinSecretBytes is the shortest secret that New accepts.
	MinSecretBytes = 32
	// MaxIDBytes is the longest key id that New accepts.
	MaxIDBytes = 32

	saltBytes    = 24
	aesKeyBytes  = 32
	gcmNonceSize = 12
	gcmTagSize   = 16
)

// Purpose tells what a sealed text is for. A text that was sealed for one
// purpose does not open for another.
type Purpose string

// Purposes.
const (
	PurposeTicket Purpose = "ticket"
	PurposeChat   Purpose = "chat"
)

// OpenError tells why a text could not be opened.
type OpenError uint8

// Reasons for which Open fails.
const (
	ErrMalformed      OpenError = iota + 1 // not of the sealed form, or too long
	ErrUnknownKey                          // sealed with a key that is not listed
	ErrAuthentication                      // changed, or sealed for another purpose
)

// Error implements error.
func (e OpenError) Error() string {
	switch e {
	case ErrMalformed:
		return "keyring: malformed sealed text"
	case ErrUnknownKey:
		return "keyring: sealed with an unknown key"
	default:
		return "keyring: sealed text does not verify"
	}
}

// KeyProblem names what is wrong with a key.
type KeyProblem string

// Problems of keys.
const (
	ProblemNoKeys      KeyProblem = "no key is given"
	ProblemBadID       KeyProblem = "id is not 1 to 32 letters, digits, '-' or '_'"
	ProblemDuplicateID KeyProblem = "id is used twice"
	ProblemShortSecret KeyProblem = "secret is shorter than 32 bytes"
)

// KeyError tells which key New refused, and why.
type KeyError struct {
	ID      string
	Problem KeyProblem
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("keyring: key %q: %s", e.ID, e.Problem)
}

// Key is one secret that the daemons of a fleet share.
type Key struct {
	ID     string
	Secret []byte
}

// Ring seals with its first key and opens with all. It is immutable and safe
// for concurrent use.
type Ring struct {
	sealing string            // id of the first key
	prks    map[string][]byte // HKDF pseudorandom keys by key id
}

// New returns a Ring of the keys.
func New(keys []Key) (*Ring, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Problem: ProblemNoKeys}
	}
	r := &Ring{sealing: keys[0].ID, prks: make(map[string][]byte, len(keys))}
	for _, k := range keys {
		if problem := r.check(k); problem != "" {
			return nil, &KeyError{ID: k.ID, Problem: problem}
		}
		prk, err := hkdf.Extract(sha256.New, k.Secret, []byte("cassialatch keyring v1"))
		if err != nil {
			return nil, err
		}
		r.prks[k.ID] = prk
	}
	return r, nil
}

func (r *Ring) check(k Key) KeyProblem {
	if !validID(k.ID) {
		return ProblemBadID
	}
	if _, ok := r.prks[k.ID]; ok {
		return ProblemDuplicateID
	}
	if len(k.Secret) < MinSecretBytes {
		return ProblemShortSecret
	}
	return ""
}

func validID(id string) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// encoding is strict, so that no two texts decode to the same bytes.
var encoding = base64.RawURLEncoding.Strict()

// Seal encrypts plain for the purpose and returns URL-safe text. Plain texts
// of more than about 2900 bytes give a text that Open finds too long.
func (r *Ring) Seal(purpose Purpose, plain []byte) string {
	buf := make([]byte, saltBytes, saltBytes+len(plain)+gcmTagSize)
	rand.Read(buf) // never fails: the runtime aborts when the system has no randomness
	aead, nonce, err := r.aead(purpose, r.sealing, buf[:saltBytes])
	if err != nil {
		panic(err) // unreachable: key sizes are constants
	}
	buf = aead.Seal(buf, nonce, plain, additional(purpose, r.sealing))
	return r.sealing + "." + encoding.EncodeToString(buf)
}

// Open verifies and decrypts a text that Seal returned for the same purpose,
// under any key of the ring. Its error is an OpenError.
func (r *Ring) Open(purpose Purpose, text string) ([]byte, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrMalformed
	}
	id, body, found := strings.Cut(text, ".")
	if !found || !validID(id) {
		return nil, ErrMalformed
	}
	// The decoder skips line breaks; they would give a token a second spelling.
	if strings.ContainsAny(body, "\r\n") {
		return nil, ErrMalformed
	}
	buf, err := encoding.DecodeString(body)
	if err != nil || len(buf) < saltBytes+gcmTagSize {
		return nil, ErrMalformed
	}
	if _, ok := r.prks[id]; !ok {
		return nil, ErrUnknownKey
	}
	aead, nonce, err := r.aead(purpose, id, buf[:saltBytes])
	if err != nil {
		return nil, ErrAuthentication
	}
	plain, err := aead.Open(nil, nonce, buf[saltBytes:], additional(purpose, id))
	if err != nil {
		return nil, ErrAuthentication
	}
	return plain, nil
}

// aead derives the cipher and the nonce of one text from its salt.
func (r *Ring) aead(purpose Purpose, id string, salt []byte) (cipher.AEAD, []byte, error) {
	info := string(purpose) + "\x00" + string(salt)
	derived, err := hkdf.Expand(sha256.New, r.prks[id], info, aesKeyBytes+gcmNonceSize)
	if err != nil {
		return nil, nil, err
	}
	block, err := aes.NewCipher(derived[:aesKeyBytes])
	if err != nil {
		return nil, nil, err
	}
	aead, err := cipher.NewGCM(block)
	return aead, derived[aesKeyBytes:], err
}

func additional(purpose Purpose, id string) []byte {
	return []byte(string(purpose) + "\x00" + id)
}
