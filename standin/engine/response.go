package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"cassialatch.dev/wire/engineapi"
	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxTokens is the length of a response, in tokens, if the request sets
	// no limit.
	DefaultMaxTokens = 32
	wordBits         = 32
	fieldEnd         = "\x1f" // between role and content
	messageEnd       = "\x1e" // after each message
)

// ExpectedWords returns the words of the complete response to req, which joins them
// by single spaces. The words depend on all messages and their number on MaxTokens,
// so a caller can distinguish the response to its request from any other.
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

// PrefixHashes returns the hash of each prefix of messages, shortest prefix first.
// The hash is xxhash64 over the role, 0x1f, the content and 0x1e of each message.
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

// CountTokens returns the number of tokens in text: words separated by white
// space.
func CountTokens(text string) int { return len(strings.Fields(text)) }
