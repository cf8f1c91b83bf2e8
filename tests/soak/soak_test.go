// Package soak runs real gateways as separate processes under randomized
// faults from outside, and checks the promises from what callers and backend
// servers see. A seed gives the schedule of faults; the timing of processes
// still varies.
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
	seeds   = flag.Int("soak.seeds", 2, "number of seeds")
	first   = flag.Uint64("soak.first", 1, "first seed; 0: fresh seeds")
	length  = flag.Duration("soak.length", 6*time.Second, "time with faults, for each seed")
	daemons = flag.Int("soak.daemons", 4, "gateways for each seed")
	callers = flag.Int("soak.callers", 8, "callers for each seed")
)

// regressions are seeds that once failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "SIGHUP came while a process started, before it was caught, and ended it"},
	{140, "all daemons drained at once: callers met closed ports, which were taken for cut answers"},
	{423, "a paused daemon read a request 2.3 s after its caller began, by then the key was taken away; the check went by the beginning"},
	{428, "requests that no daemon had read met the last close of a drain within milliseconds; they were taken for cut answers"},
}

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

func TestSoak(t *testing.T) {
	start := *first
	if start == 0 {
		start = rand.Uint64N(1 << 32)
	}
	slot := 0
	run := func(seed uint64) {
		slot++
		at := slot
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, at)
		})
	}
	for _, r := range regressions {
		run(r.seed)
	}
	for i := range uint64(*seeds) {
		run(start + i)
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64, slot int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, binary, slot, *daemons)
	const startLimit = 20 * time.Second
	if !f.awaitReady(startLimit) {
		t.Fatal("the fleet did not become ready")
	}
	planned := seed%4 == 0 // only what operators do
	var mu sync.Mutex
	var results []result
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range *callers {
		c := newCaller(f, fmt.Sprint("c", i), rand.New(rand.NewPCG(seed, uint64(i+1))), &mu, &results)
		wg.Go(func() { c.run(ctx) })
	}
	revoked := f.misbehave(rng, planned)
	stop()
	wg.Wait()
	f.check(results, revoked, planned)
	f.recovers(seed)
}

// misbehave injects faults in series that overlap, and ends all of them. It
// returns the keys that were taken away, and when.
func (f *fleet) misbehave(rng *rand.Rand, planned bool) map[string]time.Time {
	revoked := make(map[string]time.Time)
	var wg sync.WaitGroup
	end := time.Now().Add(*length)
	for time.Now().Before(end) {
		hold := time.Duration(100+rng.IntN(1800)) * time.Millisecond
		choice := rng.IntN(4)
		if !planned {
			choice = rng.IntN(13)
		}
		d, s := f.daemons[rng.IntN(len(f.daemons))], f.servers[rng.IntN(len(f.servers))]
		long := rng.IntN(6) == 0
		switch choice {
		case broken:
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
			link := d.store
			if choice == 7 {
				link = s.link()
			}
			mode := []fault{delay, silent, oneWay, refused}[rng.IntN(4)]
			wg.Go(func() { link.set(mode); time.Sleep(hold); link.set(pass) })
		case 8:
			s.link().reset()
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

// check compares what callers saw with what ran.
func (f *fleet) check(results []result, revoked map[string]time.Time, planned bool) {
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
		case notWhole:
			f.t.Errorf("%s %s was not answered whole: %s", r.kind, r.id, r.detail)
		case 503, 429, 408, 421:
			if runs > 0 {
				f.t.Errorf("%s %s was said not to have run (%d) and ran at %v", r.kind, r.id, r.status, last)
			}
		case 401:
			// A daemon that was paused reads the request, and judges it, later.
			if at, ok := revoked[r.key]; !ok || r.ended.Add(time.Second).Before(at) {
				f.t.Errorf("%s %s was refused though its key is valid", r.kind, r.id)
			}
		case 404:
			f.t.Errorf("%s %s: its route was not found", r.kind, r.id)
		case broken:
			if planned && !r.crossed(runs) {
				f.t.Errorf("%s %s was cut by planned work: %s", r.kind, r.id, r.detail)
			}
		}
		if at, ok := revoked[r.key]; ok && runs > 0 && r.sent.After(at.Add(revokeBound)) {
			f.t.Errorf("%s %s ran with a key that was taken away %v before", r.kind, r.id, r.sent.Sub(at))
		}
	}
	f.t.Logf("%d requests, %d served", len(results), served)
	if served == 0 {
		f.t.Error("no request was served")
	}
}

// lossSlack is the time after which a request that was sent counts as read.
const lossSlack = 200 * time.Millisecond

// crossed tells whether a request met the end of its connection on the way: no
// server was sent it, and the end came at once.
func (r *result) crossed(runs int) bool {
	return runs == 0 && r.ended.Sub(r.posted) < lossSlack
}

// recovers checks that all is well again once no fault is left.
func (f *fleet) recovers(seed uint64) {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
	}
	const recoverLimit, settle = 20 * time.Second, 3 * time.Second
	if !f.awaitReady(recoverLimit) {
		f.t.Error("not all daemons are ready after the faults")
		return
	}
	time.Sleep(settle)
	var mu sync.Mutex
	var results []result
	c := newCaller(f, "after", rand.New(rand.NewPCG(seed, 99)), &mu, &results)
	f.mu.Lock()
	key := f.keys[0]
	f.mu.Unlock()
	const rounds = 10
	for n := range rounds {
		for _, kind := range kinds {
			if r := c.once(context.Background(), fmt.Sprintf("after-%s-%d", kind, n), kind, key); r.status != 200 {
				f.t.Errorf("after the faults %s %s got %d: %s", kind, r.id, r.status, r.detail)
			}
		}
	}
}
