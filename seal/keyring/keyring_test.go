package keyring_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cassialatch.dev/seal/keyring"
)

func key(id string, fill byte) keyring.Key {
	return keyring.Key{ID: id, Secret: bytes.Repeat([]byte{fill}, keyring.MinSecretBytes)}
}

func ring(t interface{ Fatal(...any) }, keys ...keyring.Key) *keyring.Ring {
	r, err := keyring.New(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRing_OpensWithListedKeysAfterRotation(t *testing.T) {
	is := is.New(t)
	older, newer := key("k1", 1), key("k2", 2)
	text := ring(t, older).Seal(keyring.PurposeChat, []byte("warm"))

	plain, err := ring(t, newer, older).Open(keyring.PurposeChat, text)
	is.NoErr(err)
	is.Equal(string(plain), "warm")

	_, err = ring(t, newer).Open(keyring.PurposeChat, text)
	is.True(errors.Is(err, keyring.ErrUnknownKey)) // no longer in the ring

	_, err = ring(t, key("k1", 9)).Open(keyring.PurposeChat, text)
	is.True(errors.Is(err, keyring.ErrAuthentication)) // same ID, different secret
}

func TestOpen_RejectsTextOfOtherPurpose(t *testing.T) {
	is := is.New(t)
	r := ring(t, key("k1", 1))
	_, err := r.Open(keyring.PurposeTicket, r.Seal(keyring.PurposeChat, []byte("x")))
	is.True(errors.Is(err, keyring.ErrAuthentication))
}

func TestOpen_RejectsModifiedText(t *testing.T) {
	r := ring(t, key("k1", 1))
	rapid.Check(t, func(t *rapid.T) {
		plain := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "plain")
		text := r.Seal(keyring.PurposeTicket, plain)
		got, err := r.Open(keyring.PurposeTicket, text)
		if err != nil || !bytes.Equal(got, plain) {
			t.Fatalf("round trip: %v", err)
		}
		changed := []byte(text)
		if rapid.Bool().Draw(t, "truncate") {
			changed = changed[:rapid.IntRange(0, len(text)-1).Draw(t, "length")]
		} else {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			changed[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		if _, err := r.Open(keyring.PurposeTicket, string(changed)); err == nil {
			t.Fatalf("opened %q, changed from %q", changed, text)
		}
	})
}

func TestOpen_RejectsMalformedText(t *testing.T) {
	is := is.New(t)
	r := ring(t, key("k1", 1))
	text := r.Seal(keyring.PurposeChat, []byte("x"))
	for _, bad := range []string{"", ".", "k1", "k1.", text + "\n", "k1." + string(make([]byte, keyring.MaxTextBytes))} {
		_, err := r.Open(keyring.PurposeChat, bad)
		is.True(errors.Is(err, keyring.ErrMalformed))
	}
}

func TestNew_RejectsInvalidKeys(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		keys []keyring.Key
		want keyring.KeyProblem
	}{
		{nil, keyring.ProblemNoKeys},
		{[]keyring.Key{key("a.b", 1)}, keyring.ProblemBadID},
		{[]keyring.Key{key("a", 1), key("a", 2)}, keyring.ProblemDuplicateID},
		{[]keyring.Key{{ID: "a", Secret: []byte("short")}}, keyring.ProblemShortSecret},
	}
	for _, c := range cases {
		_, err := keyring.New(c.keys)
		var bad *keyring.KeyError
		is.True(errors.As(err, &bad))
		is.Equal(bad.Problem, c.want)
	}
}
