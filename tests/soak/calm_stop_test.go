package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stopCallers is the number of callers of the daemon that is stopped, for each kind of
// connection.
const stopCallers = 16

// Guards against requests that arrive late in the grace period of a planned stop, are
// passed on to a server, and are cut off at its end, also such that must not run twice.
// Nothing else is disturbed; requests of each kind arrive during the whole stop, on open
// and on new connections.
func TestSoak_CalmStop(t *testing.T) {
	const firstSlot = 150 // above those of the other soaks
	runSeeds(t, nil, firstSlot, runCalmStop)
}

func runCalmStop(t *testing.T, seed uint64, slot int) {
	grace := []time.Duration{4 * time.Second, 8 * time.Second}[seed%2]
	f := newFleet(t, binary, slot, grace)
	const startTimeout = 20 * time.Second
	if !f.awaitReady(startTimeout) {
		t.Fatal("the fleet did not become ready")
	}
	stopped := f.daemons[len(f.daemons)-1] // not the seed
	var results resultList
	ctx, end := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 2 * stopCallers {
		c := newCaller(f, fmt.Sprint("c", i), rand.New(rand.NewPCG(seed, uint64(i+1))), &results)
		c.choose = func(context.Context) string { return stopped.frontend() }
		c.deadline = []time.Duration{callerDeadline, time.Second, 300 * time.Millisecond}[i%3]
		c.client.Transport.(*http.Transport).DisableKeepAlives = i%2 == 0
		wg.Go(func() { c.sendWhileStopped(ctx) })
	}
	const before = time.Second
	time.Sleep(before)
	start := time.Now()
	stopped.stop()
	end()
	wg.Wait()
	f.checkStop(results.all, stopped.ip, start)
	f.checkRecovery(seed)
}

// sendWhileStopped sends requests of each kind until the context ends.
func (c *caller) sendWhileStopped(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	all := []string{"safe", "unsafe", "stream", slowStream}
	for n := 0; ctx.Err() == nil; n++ {
		c.sendOnce(ctx, fmt.Sprintf("%s-%d", c.name, n), all[c.rng.IntN(len(all))], c.f.randomKey(c.rng))
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

// checkStop checks that the stop from start on has cost no request its response, that
// nothing ran of what was reported as not run, and that what may run once did. Streams
// may break off at their deadline, which comes early on a machine short of processor time.
func (f *fleet) checkStop(results []result, stopped string, start time.Time) {
	counts := make(map[string]int)
	for _, r := range results {
		runs := f.ledger.Runs(r.id)
		if r.kind == "unsafe" && len(runs) > 1 {
			f.t.Errorf("unsafe %s ran %d times", r.id, len(runs))
		}
		switch {
		case r.status == 503 && len(runs) > 0:
			f.t.Errorf("%s %s was reported as not run but ran at %v", r.kind, r.id, runs)
		case r.status == wrongBody:
			f.t.Errorf("%s %s got a response with the wrong body: %s", r.kind, r.id, r.err)
		case r.status == connBroken && !r.racedClose(runs) && !r.deadlinePassed():
			f.t.Errorf("%s %s, sent %v after SIGTERM with a deadline of %v, ended %v later without a complete response: %v; runs: %v",
				r.kind, r.id, r.sent.Sub(start), r.deadline, r.ended.Sub(r.sent), r.err, runs)
		case r.status == 502, r.status == 504 && r.ended.Sub(r.passed) < r.deadline:
			f.t.Errorf("%s %s, sent %v after SIGTERM, ended with %d although no server failed and its deadline had not passed", r.kind, r.id, r.sent.Sub(start), r.status)
		}
		if r.sent.After(start) {
			counts[fmt.Sprint(r.kind, " ", r.status)]++
		}
	}
	f.t.Logf("during the stop of %s: %v", stopped, counts)
	if counts["unsafe 200"] == 0 || counts["unsafe 503"] == 0 {
		f.t.Error("the stop neither served nor refused requests that must not run twice")
	}
}
