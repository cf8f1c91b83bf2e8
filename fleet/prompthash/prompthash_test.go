package prompthash

import (
	"testing"

	"cassialatch.dev/wire/engineapi"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anyMessages generates 1 to 8 messages with arbitrary content.
var anyMessages = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) engineapi.Message {
	return engineapi.Message{Role: rapid.String().Draw(t, "role"), Content: rapid.String().Draw(t, "content")}
}), 1, 8)

func TestPrefixes_ContinuedChatKeepsEarlierHashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		messages := anyMessages.Draw(t, "messages")
		n := rapid.IntRange(1, len(messages)).Draw(t, "n")
		is.Equal(Prefixes(messages)[:n], Prefixes(messages[:n]))
	})
}

func TestPrefixes_MatchEngineEncoding(t *testing.T) {
	is := is.New(t)
	messages := []engineapi.Message{{Role: "system", Content: "s"}, {Role: "user", Content: "a"}}
	is.Equal(Prefixes(messages)[1], xxhash.Sum64String("system\x1fs\x1euser\x1fa\x1e"))
}

func TestSum_SeparatesFields(t *testing.T) {
	is := is.New(t)
	a := []engineapi.Message{{Role: "user", Content: "ab"}}
	b := []engineapi.Message{{Role: "usera", Content: "b"}}
	is.True(Sum("m", a) != Sum("m", b))
	is.True(Sum("m", a) != Sum("n", a))
}
