package placement

import (
	"slices"
	"testing"
	"time"
)

// Load pattern: 62 daemons before 4 servers of a plain service with 6 slots each, which take 30 ms
// for a request; 278 requests a second in clumps, a third of the capacity; counts of the other
// daemons are some hundred milliseconds old, so that each server has ended all that a daemon
// was told of. Guards against all daemons choosing the same server: at least 95 in 100
// requests get a slot early enough for the objective of 150 ms.
func TestLeastLoaded_SpreadsPlainRequestsOnOldCounts(t *testing.T) {
	const (
		daemons, servers, slots = 62, 4, 6
		perSecond, clump        = 278, 3
		work, objective         = 30 * time.Millisecond, 150 * time.Millisecond
		end                     = 20 * time.Second
		maxLate                 = 0.05
	)
	for _, age := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		t.Run("age="+age.String(), func(t *testing.T) {
			f := newStaleFleet(daemons, servers, age)
			free := make([][slots]time.Duration, servers) // when each slot is free
			late, requests := 0, 0
			for f.now < end {
				f.advance(f.now + time.Duration(f.rng.ExpFloat64()*float64(clump*time.Second)/perSecond))
				for range clump {
					daemon := f.rng.IntN(daemons)
					server := LeastLoaded(f.candidates(daemon, 0), "", f.rng.ExpFloat64)
					slot := slices.Index(free[server][:], slices.Min(free[server][:]))
					ends := max(f.now, free[server][slot]) + time.Duration(f.rng.ExpFloat64()*float64(work))
					free[server][slot] = ends
					f.begin(daemon, server, ends-f.now)
					requests++
					if ends-f.now > objective {
						late++
					}
				}
			}
			if share := float64(late) / float64(requests); share > maxLate {
				t.Errorf("%.4f of %d requests later than %v", share, requests, objective)
			}
		})
	}
}
