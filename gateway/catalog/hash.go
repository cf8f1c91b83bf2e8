package catalog

import (
	"math/bits"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// contentHash returns the hash of everything that determines how requests are
// served: the revision of the configuration document, the servers and the evacuated zones. Fields that were
// added later are included only where they are set, so that daemons of the builds before
// and after agree on the states of deployments that do not use them.
func contentHash(s *State) uint64 {
	const bytesPerServer = 160
	b := make([]byte, 0, bytesPerServer*(1+len(s.Servers)))
	b = strconv.AppendInt(b, s.RawRev, 10)
	for i := range s.Servers {
		b = appendServer(append(b, '|'), &s.Servers[i])
	}
	for _, zone := range s.Evacuated {
		b = strconv.AppendQuote(append(b, "|evacuated "...), zone)
	}
	return xxhash.Sum64(b)
}

// appendServer appends the fields of a server as fmt prints them with %+v.
func appendServer(b []byte, s *Server) []byte {
	b = append(append(b, "{ID:"...), s.ID...)
	b = strconv.AppendInt(append(b, " Born:"...), s.Born, 10)
	b = append(append(b, " Service:"...), s.Service...)
	b = append(append(b, " Address:"...), s.Address...)
	b = append(append(b, " Zone:"...), s.Zone...)
	b = strconv.AppendInt(append(b, " Slots:"...), int64(s.Slots), 10)
	b = strconv.AppendBool(append(b, " Draining:"...), s.Draining)
	if s.ColdRemaining != 0 {
		b = strconv.AppendInt(append(b, " ColdRemaining:"...), s.ColdRemaining, 10)
	}
	return append(b, '}')
}

// minColdStep is the lowest value of RoundCold above 0. With the heartbeats of servers
// 1.2 s apart, a lower one would let the state change with each heartbeat.
const minColdStep = 4096 * time.Millisecond

// RoundCold rounds the time for which a server is still cold up to the next power of two
// in milliseconds, and to at least minColdStep. A server publishes this time with each
// heartbeat. Each change of the state costs all daemons a fetch, and where many servers
// count down, each read of the store would find a change: rounded, a server that is cold
// for 3 s causes one when it becomes cold and one when it is warm. The result depends on
// nothing else, since all daemons that read the store must get the same state.
func RoundCold(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	ms := max((remaining+time.Millisecond-1)/time.Millisecond, minColdStep/time.Millisecond)
	return time.Millisecond << bits.Len64(uint64(ms-1))
}
