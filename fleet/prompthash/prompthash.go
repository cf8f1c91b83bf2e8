// Package prompthash computes hashes of prompts: of their prefixes, compatible with the
// cache events of the engines, and of whole prompts. Its functions are safe for
// concurrent use.
package prompthash

import (
	"encoding/binary"

	"cassialatch.dev/wire/engineapi"
	"github.com/cespare/xxhash/v2"
)

// Separators in the message encoding that the engines hash.
const (
	endOfRole    = "\x1f"
	endOfMessage = "\x1e"
)

// Prefixes returns the hash of the first message, of the first two messages, and so
// on. Engines identify prefixes in their cache events by the same hashes: xxHash64 over
// the role, 0x1f, the content and 0x1e of each message.
func Prefixes(messages []engineapi.Message) []uint64 {
	prefixes := make([]uint64, len(messages))
	d := xxhash.New()
	for i, m := range messages {
		writeStrings(d, m.Role, endOfRole, m.Content, endOfMessage)
		prefixes[i] = d.Sum64()
	}
	return prefixes
}

// Sum returns a hash of the model and all messages. Unlike Prefixes it hashes
// length-prefixed fields, so that different prompts never have the same encoding.
func Sum(model string, messages []engineapi.Message) uint64 {
	d := xxhash.New()
	writeField(d, model)
	for _, m := range messages {
		writeField(d, m.Role)
		writeField(d, m.Content)
	}
	return d.Sum64()
}

// writeField hashes the length of s and s itself.
func writeField(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:]) // never returns an error
	writeStrings(d, s)
}

// writeStrings hashes the strings without separators.
func writeStrings(d *xxhash.Digest, parts ...string) {
	for _, s := range parts {
		_, _ = d.WriteString(s) // never returns an error
	}
}
