package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
)

// largeFleet is the number of daemons of a large fleet.
const largeFleet = 300

// newFleetMember returns an exchange of a fleet in which all daemons are alive and
// serve some requests.
func newFleetMember(daemons int) *Exchange {
	ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
	e, _ := newExchange(ck)
	for i := 1; i < daemons; i++ {
		e.table.recordMessage(memberIP(i), header{incarnation: 1, sentAt: 1}, &Message{
			State:    State{Ready: true, CachesKnown: true, StoreReachable: true},
			InFlight: []InFlight{{Server: uint32(i), Requests: 1}, {Server: uint32(i + 1), Requests: 2, Tokens: 900}},
		})
	}
	return e
}

func memberIP(i int) string { return fmt.Sprintf("10.%d.0.%d", 1+i/100, 1+i%100) }

// Load pattern: hundreds of daemons, each of which is asked who is alive for each
// poll, message and request. Guards against copying the table of all daemons each
// time, which took most of a daemon's processor time on large deployments.
func TestTable_QuestionsAboutALargeFleetDoNotCopyIt(t *testing.T) {
	is := is.New(t)
	table := newFleetMember(largeFleet).table
	questions := map[string]func(){
		"FleetSize":   func() { table.FleetSize() },
		"HasMajority": func() { table.HasMajority() },
		"Rank":        func() { table.Rank() },
		"Isolated":    func() { table.Isolated() },
		"hasNewPeer":  func() { table.hasNewPeer() },
	}
	for name, ask := range questions {
		if n := testing.AllocsPerRun(20, ask); n != 0 {
			t.Errorf("%s: %v allocations", name, n)
		}
	}
	table.relayedPeers()
	is.True(testing.AllocsPerRun(20, func() { table.relayedPeers() }) <= 1) // the list itself
}

// The peers stay sorted while daemons join and leave, since all daemons must derive
// the same order from them.
func TestTable_AliveIsSortedWhileDaemonsJoinAndLeave(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
	e, _ := newExchange(ck)
	for _, i := range []int{7, 3, 250, 12, 99, 3} {
		e.table.recordMessage(memberIP(i), header{incarnation: 1, sentAt: 1}, &Message{})
	}
	alive := e.table.Alive()
	is.Equal(len(alive), 5)
	is.Equal(e.table.CountAlive(), 5)
	for i := 1; i < len(alive); i++ {
		is.True(alive[i-1].IP < alive[i].IP)
	}
	ck.now = ck.now.Add(peerExpiry + time.Second)
	e.table.recordMessage(memberIP(12), header{incarnation: 1, sentAt: 2}, &Message{})
	e.table.targets() // removes those that have expired, but not the seed
	is.Equal(len(e.table.peers), 2)
	is.Equal(len(e.table.sorted), 2)
	is.Equal(e.table.Alive()[0].IP, memberIP(12))
}

// BenchmarkExchange measures what one message costs its sender and its recipient.
func BenchmarkExchange(b *testing.B) {
	for _, daemons := range []int{9, 100, largeFleet, 390} {
		e := newFleetMember(daemons)
		peer := datagramOf(newFleetMember(daemons))
		b.Run(fmt.Sprintf("send/daemons=%d", daemons), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				e.table.targets()
				encode(e.message())
			}
		})
		b.Run(fmt.Sprintf("receive/daemons=%d", daemons), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				e.handle(context.Background(), "10.9.0.1", peer)
			}
		})
	}
}

// datagramOf returns a datagram that the daemon would send.
func datagramOf(e *Exchange) []byte {
	return append(header{incarnation: 1, sentAt: 1}.append(nil), encode(e.message())...)
}
