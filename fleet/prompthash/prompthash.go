// Package prompthash hashes the content of prompts. Engines name the prefixes
// in their cache events by the same hash, so the encoding below must not
// change: xxhash64 over the model, then the role and the content of each
// message, each of these as its length (64 bits, little-endian) and its bytes.
package prompthash

import (
	"encoding/binary"

	"cassialatch.dev/wire/engineapi"
	"github.com/cespare/xxhash/v2"
)

// Prefixes returns the hash of the first message, of the first two, and so on.
func Prefixes(model string, messages []engineapi.Message) []uint64 {
	prefixes := make([]uint64, len(messages))
	d := newDigest(model)
	for i, m := range messages {
		d.message(m)
		prefixes[i] = d.Sum64()
	}
	return prefixes
}

// Sum returns the hash of the whole prompt.
func Sum(model string, messages []engineapi.Message) uint64 {
	d := newDigest(model)
	for _, m := range messages {
		d.message(m)
	}
	return d.Sum64()
}

type digest struct{ xxhash.Digest }

func newDigest(model string) *digest {
	d := &digest{}
	d.Reset()
	d.field(model)
	return d
}

func (d *digest) message(m engineapi.Message) {
	d.field(m.Role)
	d.field(m.Content)
}

// field writes the length first, so that no two sequences of fields encode
// alike.
func (d *digest) field(s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:]) // never fails
	_, _ = d.WriteString(s)   // never fails
}
