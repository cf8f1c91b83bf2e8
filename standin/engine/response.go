package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"cassialatch.dev/wire/engineapi"
	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxTokens is the length of an answer to a request that gives none.
	DefaultMaxTokens = 32
	wordBits         = 32
	fieldEnd         = "\x1f" // between role and content
	messageEnd       = "\x1e" // after each message
)

// ExpectedWords returns the words of the whole answer to req. They depend on all of
// its messages and on MaxTokens, so a caller can tell its own answer from
// another's. The content of an answer is these words joined by single spaces.
func ExpectedWords(req engineapi.ChatRequest) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = DefaultMaxTokens
	}
	var prompt uint64
	if prefixes := PrefixHashes(req.Messages); len(prefixes) > 0 {
		prompt = prefixes[len(prefixes)-1]
	}
	words := make([]string, n)
	for i := range words {
		words[i] = word(prompt, i)
	}
	return words
}

func word(prompt uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], prompt)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return strconv.FormatUint(xxhash.Sum64(b[:])>>wordBits, 36)
}

// PrefixHashes returns the hash of each prefix of the messages, the shortest
// first: xxhash64 over role, 0x1f, content, 0x1e of each message in turn.
func PrefixHashes(messages []engineapi.Message) []uint64 {
	digest := xxhash.New()
	hashes := make([]uint64, len(messages))
	for i, m := range messages {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(m.Role + fieldEnd + m.Content + messageEnd)
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// CountTokens counts the tokens of a text: its words between white space.
func CountTokens(text string) int { return len(strings.Fields(text)) }
