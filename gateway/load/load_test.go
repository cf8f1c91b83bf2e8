package load

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func inFlight(t *Table, server uint32) Work {
	work := make([]Work, 1)
	t.InFlight([]uint32{server}, work)
	return work[0]
}

func TestInFlightSumsAllDaemons(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	e := x.Begin(1, 500)
	x.SetPeer("a", map[uint32]Work{1: {Requests: 3, Tokens: 100}})
	x.SetPeer("b", map[uint32]Work{1: {Requests: 2}})
	is.Equal(inFlight(x, 1), Work{Requests: 6, Tokens: 600})
	x.SetPeer("a", map[uint32]Work{2: {Requests: 1}})
	is.Equal(inFlight(x, 1), Work{Requests: 3, Tokens: 500})
	is.True(e.Computed())
	is.True(!e.Computed())
	is.Equal(inFlight(x, 1), Work{Requests: 3})
	e.End()
	is.Equal(inFlight(x, 1), Work{Requests: 2})
}

func TestExpire_RemovesCountsOfSilentPeer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	x := New(func() time.Time { return now })
	x.SetPeer("a", map[uint32]Work{1: {Requests: 3}})
	now = now.Add(peerTTL + 1)
	x.Expire()
	is.Equal(inFlight(x, 1), Work{})
}
