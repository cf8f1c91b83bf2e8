package prompthash

import (
	"testing"

	"cassialatch.dev/wire/engineapi"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var anyMessages = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) engineapi.Message {
	return engineapi.Message{Role: rapid.String().Draw(t, "role"), Content: rapid.String().Draw(t, "content")}
}), 1, 8)

func TestPrefixesOfAContinuedChatStartWithThoseOfTheChat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		messages := anyMessages.Draw(t, "messages")
		n := rapid.IntRange(1, len(messages)).Draw(t, "n")
		is.Equal(Prefixes("m", messages)[:n], Prefixes("m", messages[:n]))
		is.Equal(Prefixes("m", messages)[n-1], Sum("m", messages[:n]))
	})
}

func TestFieldsDoNotRunTogether(t *testing.T) {
	is := is.New(t)
	a := []engineapi.Message{{Role: "user", Content: "ab"}}
	b := []engineapi.Message{{Role: "usera", Content: "b"}}
	is.True(Sum("m", a) != Sum("m", b))
	is.True(Sum("m", a) != Sum("n", a))
}
