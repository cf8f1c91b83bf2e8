package router

import (
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/wire/peerpb"
)

func TestDispatch_HedgesOnlyRequestsThatMayRunTwice(t *testing.T) {
	is := is.New(t)
	const suspectFingerprint = 7
	r := New(Options{IsSuspect: func(fingerprint uint64) bool { return fingerprint == suspectFingerprint }})
	hedgeable := func(start *peerpb.ForwardStart) bool {
		return (&dispatch{router: r, req: Request{Start: start}}).isHedgeable()
	}
	is.True(hedgeable(&peerpb.ForwardStart{Class: "short", Idempotent: true, Fingerprint: 1}))
	is.True(hedgeable(&peerpb.ForwardStart{Class: "chat", Idempotent: true}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "long", Idempotent: true}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "short"}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "short", Idempotent: true, Ticket: "t"}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "short", Idempotent: true, Fingerprint: suspectFingerprint}))
}
