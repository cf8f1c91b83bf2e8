package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// coldService is a service whose servers are cold for coldTime after their start, and then
// tolerate coldPerSecond requests per second in all. Its only route has its name.
const (
	coldService   = "cold"
	coldTime      = 3 * time.Second
	coldPerSecond = 6
	coldBound     = coldPerSecond*1.5 + 5 // the operators' bound on any second
)

// contractsOf returns the contracts in the settings of a seed's daemons: of about half of
// the seeds those on the state of servers and on zones, of the others none.
func contractsOf(seed uint64) []string {
	if rand.New(rand.NewPCG(seed, contractStream)).IntN(2) == 0 {
		return nil
	}
	return []string{"base", "health", "places"}
}

// startColdServers starts the servers of coldService. It restarts them and sends requests
// to them until the context ends. They are not among f.servers, of which a seed selects
// some by number for its faults.
func (f *fleet) startColdServers(ctx context.Context, wg *sync.WaitGroup, seed uint64, results *resultList) {
	var all []*server
	for i := range 3 {
		all = append(all, newServer(f, coldService))
		c := newCaller(f, fmt.Sprint("cold", i), rand.New(rand.NewPCG(seed, uint64(coldStream+1+i))), results)
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				c.sendOnce(ctx, fmt.Sprintf("%s-%d", c.name, n), coldService, f.randomKey(c.rng))
				time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	wg.Go(func() { restartServers(ctx, all, rand.New(rand.NewPCG(seed, coldStream))) })
	wg.Go(func() { sendHeartbeats(ctx, all) })
}

// restartServers stops one server, or all of them together, and starts them again.
func restartServers(ctx context.Context, all []*server, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
		chosen := all
		if rng.IntN(2) == 0 {
			chosen = []*server{all[rng.IntN(len(all))]}
		}
		for _, s := range chosen {
			s.crash()
		}
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		for _, s := range chosen {
			s.restart()
		}
	}
}

// sendHeartbeats publishes at intervals how much longer servers are cold.
func sendHeartbeats(ctx context.Context, all []*server) {
	const interval = 1200 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(interval)
		for _, s := range all {
			s.mu.Lock()
			if s.http != nil {
				s.register()
			}
			s.mu.Unlock()
		}
	}
}

// checkCold checks the results of requests to coldService, and that no server was sent more
// requests within a second than coldBound while it was cold. It does not check that some
// were served: daemons that have just started send nothing for 3 s while all are cold.
func (f *fleet) checkCold(results []result, revoked map[string]time.Time) {
	runs := make(map[string][]time.Time) // while cold, by ID of the server
	most := 0
	for _, r := range results {
		f.checkResult(&r, revoked)
		for _, run := range f.ledger.Runs(r.id) {
			if run.Start.Before(f.coldUntil[run.Runner]) {
				runs[run.Runner] = append(runs[run.Runner], run.Start)
			}
		}
	}
	for _, starts := range runs {
		slices.SortFunc(starts, time.Time.Compare)
		for i, first := 0, 0; i < len(starts); i++ {
			for starts[i].Sub(starts[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	f.t.Logf("%d requests to %s; at most %d within a second to a cold server", len(results), coldService, most)
	if float64(most) > coldBound {
		f.t.Errorf("a cold server was sent %d requests within a second, bound is %v", most, coldBound)
	}
}
