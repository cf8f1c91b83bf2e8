package ticket

import (
	"bytes"
	"errors"
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

func sample() Ticket {
	expires := time.UnixMilli(1_900_000_000_123)
	return Ticket{Executor: "vm-3", Peer: "10.0.0.3:7101", Incarnation: 1<<64 - 1, Expires: expires}
}

func TestTicket_RoundTripGeneratesNonce(t *testing.T) {
	is := is.New(t)
	ring, want := testRing(t), sample()
	first, err := Open(ring, Issue(ring, want))
	is.NoErr(err)
	second, err := Open(ring, Issue(ring, want))
	is.NoErr(err)
	is.True(first.Nonce != [NonceBytes]byte{})
	is.True(first.Nonce != second.Nonce)
	want.Nonce = first.Nonce
	is.Equal(first, want)
}

func TestOpen_RejectsChatToken(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	_, err := Open(ring, ring.Seal(keyring.PurposeChat, []byte(`{"x":"a"}`)))
	is.True(errors.Is(err, keyring.ErrAuthentication))
}

func TestOpen_ReturnsPayloadErrorForInvalidPayload(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	for _, plain := range []string{"", "{}", `{"x":"a","n":"AA=="}`, `{"x":"a","p":"nowhere","n":"AAAAAAAAAAAAAAAAAAAAAA=="}`} {
		_, err := Open(ring, ring.Seal(keyring.PurposeTicket, []byte(plain)))
		var bad *PayloadError
		is.True(errors.As(err, &bad))
	}
}

func FuzzOpen(f *testing.F) {
	ring := testRing(f)
	f.Add(Issue(ring, sample()), []byte(`{"x":"a","p":"h:1","n":"AAAAAAAAAAAAAAAAAAAAAA=="}`))
	f.Fuzz(func(t *testing.T, text string, plain []byte) {
		_, _ = Open(ring, text)
		decoded, err := decode(plain)
		if err != nil || len(decoded.Executor)+len(decoded.Peer) > keyring.MaxTextBytes/16 || decoded.Nonce == [NonceBytes]byte{} {
			return
		}
		again, err := Open(ring, Issue(ring, decoded))
		if err != nil || !again.Expires.Equal(decoded.Expires) || again.Nonce != decoded.Nonce {
			t.Fatalf("%v: %+v became %+v", err, decoded, again)
		}
	})
}
