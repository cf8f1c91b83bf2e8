// Package prompthash hashes the content of prompts.
package prompthash

import (
	"encoding/binary"

	"cassialatch.dev/wire/engineapi"
	"github.com/cespare/xxhash/v2"
)

// Separators of the engines' encoding of messages.
const (
	endOfRole    = "\x1f"
	endOfMessage = "\x1e"
)

// Prefixes returns the hash of the first message, of the first two, and so on,
// by which engines name prefixes in their cache events: xxhash64 over the role,
// 0x1f, the content and 0x1e of each message.
func Prefixes(messages []engineapi.Message) []uint64 {
	prefixes := make([]uint64, len(messages))
	d := xxhash.New()
	for i, m := range messages {
		writeStrings(d, m.Role, endOfRole, m.Content, endOfMessage)
		prefixes[i] = d.Sum64()
	}
	return prefixes
}

// Sum returns a hash of the model and all messages. Unlike the engines'
// encoding it writes lengths, so that no two prompts encode alike whatever
// their content.
func Sum(model string, messages []engineapi.Message) uint64 {
	d := xxhash.New()
	writeField(d, model)
	for _, m := range messages {
		writeField(d, m.Role)
		writeField(d, m.Content)
	}
	return d.Sum64()
}

func writeField(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:]) // never fails
	writeStrings(d, s)
}

func writeStrings(d *xxhash.Digest, parts ...string) {
	for _, s := range parts {
		_, _ = d.WriteString(s) // never fails
	}
}
