// Package soak runs gateway processes under randomized external faults and checks
// their guarantees by what callers and backend servers observe. A seed determines
// the schedule of faults; the timing of the processes still varies between runs.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"cassialatch.dev/standin/metastore"
)

var (
	seeds         = flag.Int("soak.seeds", 2, "number of seeds")
	firstSeed     = flag.Uint64("soak.first", 1, "first seed; 0 selects a random one")
	faultDuration = flag.Duration("soak.length", 6*time.Second, "duration of fault injection for each seed")
	daemons       = flag.Int("soak.daemons", 4, "number of gateways for each seed")
	callers       = flag.Int("soak.callers", 8, "number of callers for each seed")
)

// regressions are seeds that failed in the past, each with the cause. They run in
// addition to the seeds that the flags select.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "SIGHUP arrived before a starting process had installed its signal handler, and terminated it"},
	{140, "all daemons drained at once; callers had their connections refused, which the check counted as broken responses"},
	{423, "a paused daemon read a request 2.3 s after its caller had started it, when the key was already revoked; the check used the start time"},
	{428, "connections were closed at the end of a drain milliseconds after requests were sent on them, before a daemon had read these; the check counted them as broken responses"},
}

// binary is the path of the gateway under test, built once for all seeds.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "cassialatchgw")
	build := exec.Command("go", "build", "-o", binary, "cassialatch.dev/cassialatchgw")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak: build:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak checks, for each seed, that no unsafe request runs twice, that no request
// reported as not run has run, that no key is accepted longer than revokeBound after
// its revocation, that no caller gets a response with a wrong body, and that the
// fleet recovers after the faults.
func TestSoak(t *testing.T) {
	start := *firstSeed
	if start == 0 {
		start = rand.Uint64N(1 << 32)
	}
	slot := 0
	run := func(seed uint64) {
		slot++
		seedSlot := slot
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, seedSlot)
		})
	}
	for _, r := range regressions {
		run(r.seed)
	}
	for i := range uint64(*seeds) {
		run(start + i)
	}
}

// runSeed runs a fleet with the faults of one seed and checks it. The slot selects
// the fleet's addresses.
func runSeed(t *testing.T, seed uint64, slot int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, binary, slot, *daemons)
	const startTimeout = 20 * time.Second
	if !f.awaitReady(startTimeout) {
		t.Fatal("the fleet did not become ready")
	}
	plannedOnly := seed%4 == 0 // only operations that are planned in production
	var mu sync.Mutex
	var results []result
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range *callers {
		c := newCaller(f, fmt.Sprint("c", i), rand.New(rand.NewPCG(seed, uint64(i+1))), &mu, &results)
		wg.Go(func() { c.run(ctx) })
	}
	revoked := f.injectFaults(rng, plannedOnly)
	stop()
	wg.Wait()
	f.checkResults(results, revoked, plannedOnly)
	f.checkRecovery(seed)
}

// injectFaults injects faults, which may overlap, for the duration given by the
// flag, and returns after the last has ended. It returns the revoked keys with the
// times of their revocation.
func (f *fleet) injectFaults(rng *rand.Rand, plannedOnly bool) map[string]time.Time {
	revoked := make(map[string]time.Time)
	var wg sync.WaitGroup
	end := time.Now().Add(*faultDuration)
	for time.Now().Before(end) {
		hold := time.Duration(100+rng.IntN(1800)) * time.Millisecond
		choice := rng.IntN(4) // 0 to 3 are the planned operations
		if !plannedOnly {
			choice = rng.IntN(13)
		}
		d, s := f.daemons[rng.IntN(len(f.daemons))], f.servers[rng.IntN(len(f.servers))]
		long := rng.IntN(6) == 0
		switch choice {
		case connBroken:
			wg.Go(d.stop)
		case 1:
			d.signal(syscall.SIGHUP)
		case 2:
			f.publish()
		case 3:
			if key, at := f.revoke(); key != "" {
				revoked[key] = at
			}
		case 4:
			d.signal(syscall.SIGKILL)
		case 5:
			if long {
				hold += revokeBound
			}
			wg.Go(func() { d.signal(syscall.SIGSTOP); time.Sleep(hold); d.signal(syscall.SIGCONT) })
		case 6, 7:
			link := d.storeProxy
			if choice == 7 {
				link = s.currentProxy()
			}
			mode := []fault{delay, stall, stallResponses, resetConns}[rng.IntN(4)]
			wg.Go(func() { link.set(mode); time.Sleep(hold); link.set(forward) })
		case 8:
			s.currentProxy().reset()
		case 9, 10:
			mode := []metastore.Mode{metastore.Busy, metastore.Unresponsive, metastore.Reset, metastore.WatchesStalled}[rng.IntN(4)]
			if long {
				hold += revokeBound
			}
			wg.Go(func() { f.store.SetMode(mode); time.Sleep(hold); f.store.SetMode(metastore.Up) })
		case 11:
			f.store.Compact()
		case 12:
			wg.Go(func() { s.crash(); time.Sleep(hold / 2); s.restart() })
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
	return revoked
}

// checkResults compares the results of callers with the runs in the ledger of the
// backend servers.
func (f *fleet) checkResults(results []result, revoked map[string]time.Time, plannedOnly bool) {
	if len(results) == 0 {
		f.t.Fatal("no request ended")
	}
	served := 0
	for _, r := range results {
		runs, last := f.ledger.Runs(r.id)
		if r.kind == "unsafe" && runs > 1 {
			f.t.Errorf("unsafe %s ran %d times", r.id, runs)
		}
		switch r.status {
		case 200:
			served++
		case wrongBody:
			f.t.Errorf("%s %s got a response with the wrong body: %s", r.kind, r.id, r.detail)
		case 503, 429, 408, 421:
			if runs > 0 {
				f.t.Errorf("%s %s was reported as not run (status %d) but ran at %v", r.kind, r.id, r.status, last)
			}
		case 401:
			// A paused daemon reads and authenticates the request only when it resumes,
			// so the end of the request counts.
			if at, ok := revoked[r.key]; !ok || r.ended.Add(time.Second).Before(at) {
				f.t.Errorf("%s %s was refused although its key was valid", r.kind, r.id)
			}
		case 404:
			f.t.Errorf("%s %s: route not found", r.kind, r.id)
		case connBroken:
			if plannedOnly && !r.racedClose(runs) {
				f.t.Errorf("%s %s was broken by a planned operation: %s", r.kind, r.id, r.detail)
			}
		}
		if at, ok := revoked[r.key]; ok && runs > 0 && r.sent.After(at.Add(revokeBound)) {
			f.t.Errorf("%s %s ran with a key that was revoked %v before", r.kind, r.id, r.sent.Sub(at))
		}
	}
	f.t.Logf("%d requests, %d served", len(results), served)
	if served == 0 {
		f.t.Error("no request was served")
	}
}

// closeRaceWindow is the time after which a sent request counts as read by a
// daemon.
const closeRaceWindow = 200 * time.Millisecond

// racedClose reports whether the connection was closed while the request was in
// transit: no backend server received the request, and it failed within
// closeRaceWindow.
func (r *result) racedClose(runs int) bool {
	return runs == 0 && r.ended.Sub(r.posted) < closeRaceWindow
}

// checkRecovery checks that all daemons become ready and all requests succeed after
// the faults have ended.
func (f *fleet) checkRecovery(seed uint64) {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
	}
	const recoveryTimeout, stabilizeTime = 20 * time.Second, 3 * time.Second
	if !f.awaitReady(recoveryTimeout) {
		f.t.Error("not all daemons became ready after the faults")
		return
	}
	time.Sleep(stabilizeTime)
	var mu sync.Mutex
	var results []result
	c := newCaller(f, "after", rand.New(rand.NewPCG(seed, 99)), &mu, &results)
	f.mu.Lock()
	key := f.keys[0]
	f.mu.Unlock()
	const rounds = 10
	for n := range rounds {
		for _, kind := range kinds {
			if r := c.sendOnce(context.Background(), fmt.Sprintf("after-%s-%d", kind, n), kind, key); r.status != 200 {
				f.t.Errorf("after the faults, %s %s got status %d: %s", kind, r.id, r.status, r.detail)
			}
		}
	}
}
