package chat

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/seal/keyring"
)

func testRing(t testing.TB) *keyring.Ring {
	r, err := keyring.New([]keyring.Key{{ID: "k", Secret: bytes.Repeat([]byte{7}, keyring.MinSecretBytes)}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func sample() Token {
	issued := time.UnixMilli(1_900_000_000_123)
	return Token{Model: "klang-model", Backend: "runner-4", Tokens: 1200, Issued: issued, Workspace: "skoler", Prefix: 1<<64 - 1}
}

func TestToken_RoundTripHidesBackendServer(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	text := Issue(ring, sample())
	is.True(!strings.Contains(text, "runner"))
	got, err := Open(ring, text)
	is.NoErr(err)
	is.Equal(got, sample())
}

func TestOpen_RejectsTicketAndIncompleteToken(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	_, err := Open(ring, ring.Seal(keyring.PurposeTicket, []byte(`{"m":"a","b":"c"}`)))
	is.True(errors.Is(err, keyring.ErrAuthentication))
	var bad *PayloadError
	_, err = Open(ring, ring.Seal(keyring.PurposeChat, []byte(`{"m":"a"}`)))
	is.True(errors.As(err, &bad))
}

func FuzzOpen(f *testing.F) {
	ring := testRing(f)
	f.Add(Issue(ring, sample()), []byte(`{"m":"a","b":"c","t":3}`))
	f.Fuzz(func(t *testing.T, text string, plain []byte) {
		_, _ = Open(ring, text)
		decoded, err := decode(plain)
		if err != nil || len(decoded.Model)+len(decoded.Backend)+len(decoded.Workspace) > keyring.MaxTextBytes/16 {
			return
		}
		again, err := Open(ring, Issue(ring, decoded))
		if err != nil || !again.Issued.Equal(decoded.Issued) || again.Backend != decoded.Backend {
			t.Fatalf("%v: %+v became %+v", err, decoded, again)
		}
	})
}
