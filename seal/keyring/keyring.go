// Package keyring encrypts and authenticates short texts that callers store and
// send back. Every daemon of the fleet holds the keys and can open such a text;
// callers can neither read nor modify it.
//
// A sealed text is "<key id>.<base64url(salt || ciphertext || tag)>". Each text
// is encrypted with AES-256-GCM under its own key and nonce, which HKDF derives
// from the secret, the purpose and a random salt. With a salt of 192 bits, the
// number of texts for one secret has no practical limit. Random 96-bit nonces
// under a single key would limit it to about 2^32.
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
	// MaxTextBytes is the maximum length of a sealed text that Open accepts.
	MaxTextBytes = 4096
	// MinSecretBytes is the minimum length of a secret that New accepts.
	MinSecretBytes = 32
	// MaxIDBytes is the maximum length of a key ID that New accepts.
	MaxIDBytes = 32

	saltBytes    = 24
	aesKeyBytes  = 32
	gcmNonceSize = 12
	gcmTagSize   = 16
)

// Purpose identifies the use of a sealed text. It is part of the key derivation
// and of the authenticated data, so a text that was sealed for one purpose
// cannot be opened for another.
type Purpose string

// Purposes of sealed texts.
const (
	PurposeTicket Purpose = "ticket"
	PurposeChat   Purpose = "chat"
)

// OpenError is the reason why a text could not be opened.
type OpenError uint8

// Errors that Open returns.
const (
	ErrMalformed      OpenError = iota + 1 // not in the format of a sealed text, or too long
	ErrUnknownKey                          // sealed with a key that is not in the ring
	ErrAuthentication                      // modified, sealed with another secret or for another purpose
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

// KeyProblem is the reason why New rejects a key.
type KeyProblem string

// Problems that New reports.
const (
	ProblemNoKeys      KeyProblem = "no key is given"
	ProblemBadID       KeyProblem = "id is not 1 to 32 letters, digits, '-' or '_'"
	ProblemDuplicateID KeyProblem = "id is used twice"
	ProblemShortSecret KeyProblem = "secret is shorter than 32 bytes"
)

// KeyError reports the key that New rejected and the reason.
type KeyError struct {
	ID      string
	Problem KeyProblem
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("keyring: key %q: %s", e.ID, e.Problem)
}

// Key is a secret shared by all daemons of a fleet, with an ID that sealed texts
// refer to.
type Key struct {
	ID     string
	Secret []byte
}

// Ring is an ordered set of keys. It seals with the first key and opens with any
// of them, so keys can be rotated. It is immutable and safe for concurrent use.
type Ring struct {
	sealingID string            // ID of the first key
	prks      map[string][]byte // HKDF pseudorandom keys by key ID
}

// New returns a Ring that holds the keys in the given order. It returns a
// *KeyError if there is no key or a key is invalid.
func New(keys []Key) (*Ring, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Problem: ProblemNoKeys}
	}
	r := &Ring{sealingID: keys[0].ID, prks: make(map[string][]byte, len(keys))}
	for _, k := range keys {
		if problem := r.validate(k); problem != "" {
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

func (r *Ring) validate(k Key) KeyProblem {
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

// encoding is strict: it rejects non-zero padding bits, so that no two texts
// decode to the same bytes.
var encoding = base64.RawURLEncoding.Strict()

// Seal encrypts plain for the purpose and returns URL-safe text. It does not
// limit the length of plain, but Open rejects the sealed text of a plaintext
// that is longer than about 2900 bytes.
func (r *Ring) Seal(purpose Purpose, plain []byte) string {
	buf := make([]byte, saltBytes, saltBytes+len(plain)+gcmTagSize)
	rand.Read(buf) // never fails: the program crashes if the system has no randomness
	aead, nonce, err := r.aead(purpose, r.sealingID, buf[:saltBytes])
	if err != nil {
		panic(err) // unreachable: key sizes are constants
	}
	buf = aead.Seal(buf, nonce, plain, additionalData(purpose, r.sealingID))
	return r.sealingID + "." + encoding.EncodeToString(buf)
}

// Open verifies and decrypts a text that was sealed for the same purpose with
// any key of the ring. Its error is an OpenError.
func (r *Ring) Open(purpose Purpose, text string) ([]byte, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrMalformed
	}
	id, body, found := strings.Cut(text, ".")
	if !found || !validID(id) {
		return nil, ErrMalformed
	}
	// The decoder ignores line breaks, so several texts would decode to the same
	// bytes.
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
	plain, err := aead.Open(nil, nonce, buf[saltBytes:], additionalData(purpose, id))
	if err != nil {
		return nil, ErrAuthentication
	}
	return plain, nil
}

// aead derives the cipher and the nonce of a text from its salt.
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

func additionalData(purpose Purpose, id string) []byte {
	return []byte(string(purpose) + "\x00" + id)
}
