package router

import (
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/wire/peerpb"
)

func TestOnlyWorkThatMayRunTwiceIsHedged(t *testing.T) {
	is := is.New(t)
	const crasher = 7
	r := New(Options{IsSuspect: func(fingerprint uint64) bool { return fingerprint == crasher }})
	hedgeable := func(start *peerpb.ForwardStart) bool {
		return (&attempt{router: r, req: Request{Start: start}}).hedgeable()
	}
	is.True(hedgeable(&peerpb.ForwardStart{Class: "short", Idempotent: true, Fingerprint: 1}))
	is.True(hedgeable(&peerpb.ForwardStart{Class: "chat", Idempotent: true}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "long", Idempotent: true}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "short"}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "short", Idempotent: true, Ticket: "t"}))
	is.True(!hedgeable(&peerpb.ForwardStart{Class: "short", Idempotent: true, Fingerprint: crasher}))
}
