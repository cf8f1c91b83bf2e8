package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"cassialatch.dev/standin/metastore"
)

// change is one version of the configuration, which adds a route and a key.
type change struct {
	route, key string
	acked      time.Time // when the store had acknowledged it
}

// configSoak holds the versions that were published while faults were injected.
type configSoak struct {
	*fleet
	results resultList

	mu      sync.Mutex
	changes []change
}

// Guards against a final refusal of a route or key that was added applyBound before, which
// no fault excuses, and against a daemon that returns to an older configuration: while the
// store, the connections to it, and daemons fail and freeze between versions.
func TestSoak_AddedRoutes(t *testing.T) {
	const firstSlot = 50 // above those of TestSoak
	runSeeds(t, nil, firstSlot, runConfigSeed)
}

func runConfigSeed(t *testing.T, seed uint64, slot int) {
	s := &configSoak{fleet: newFleet(t, binary, slot, 4*time.Second)}
	const startTimeout = 20 * time.Second
	if !s.awaitReady(startTimeout) {
		t.Fatal("the fleet did not become ready")
	}
	s.publishChange()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for i := range *callers {
		c := newCaller(s.fleet, fmt.Sprint("c", i), rand.New(rand.NewPCG(seed, uint64(i))), &s.results)
		wg.Go(func() { s.sendRequests(ctx, c) })
	}
	wg.Go(func() { s.publishChanges(ctx, rand.New(rand.NewPCG(seed, changeStream))) })
	s.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	stop()
	wg.Wait()
	s.checkRefusals()
	s.checkReversion()
	s.checkAddedServed(seed)
}

// publishChange publishes the next version.
func (s *configSoak) publishChange() {
	n := len(s.changes)
	c := change{route: fmt.Sprint("added", n), key: fmt.Sprint("added-key-", n)}
	s.fleet.mu.Lock()
	s.added = append(s.added, c.route)
	s.keys = append(s.keys, c.key)
	s.fleet.mu.Unlock()
	s.publish()
	c.acked = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
}

// publishChanges publishes versions, some in quick succession, until the context ends.
func (s *configSoak) publishChanges(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		s.publishChange()
		time.Sleep([]time.Duration{50 * time.Millisecond, time.Duration(rng.IntN(2500)) * time.Millisecond}[rng.IntN(2)])
	}
}

// sendRequests sends requests on the route of one version with the key of another,
// mostly of recent ones, until the context ends.
func (s *configSoak) sendRequests(ctx context.Context, c *caller) {
	defer c.client.CloseIdleConnections()
	pick := func() change {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.changes[len(s.changes)-1-c.rng.IntN(min(len(s.changes), 1+c.rng.IntN(10)))]
	}
	for n := 0; ctx.Err() == nil; n++ {
		c.sendOnce(ctx, fmt.Sprintf("%s-%d", c.name, n), pick().route, pick().key)
		time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	}
}

// injectFaults injects faults of the store, the connections to it and the daemons, which
// may overlap, and returns after the last has ended.
func (s *configSoak) injectFaults(rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	modes := []metastore.Mode{metastore.Busy, metastore.Unresponsive, metastore.Reset, metastore.WatchesStalled, metastore.WatchesUnresponsive}
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		hold := time.Duration(100+rng.IntN(3500)) * time.Millisecond
		d := s.daemons[rng.IntN(len(s.daemons))]
		mode, link := modes[rng.IntN(len(modes))], linkFaults[rng.IntN(len(linkFaults))]
		switch rng.IntN(6) {
		case 0:
			s.disturbances.begin(d.ip) // does not end: the process may have forgotten a version
			d.signal(syscall.SIGKILL)
		case 1, 2:
			wg.Go(func() { d.signal(syscall.SIGSTOP); time.Sleep(hold); d.signal(syscall.SIGCONT) })
		case 3:
			wg.Go(func() { d.storeProxy.set(link); time.Sleep(hold); d.storeProxy.set(forward) })
		case 4:
			wg.Go(func() { s.store.SetMode(mode); time.Sleep(hold); s.store.SetMode(metastore.Up) })
		case 5:
			s.store.Compact()
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
}

// version returns the number of the version in which the route of a request or, if it is
// later, its key was added, and when that was acknowledged.
func (s *configSoak) version(r *result) (n int, acked time.Time) {
	n = slices.IndexFunc(s.changes, func(c change) bool { return c.route == r.kind })
	n = max(n, slices.IndexFunc(s.changes, func(c change) bool { return c.key == r.key }))
	return n, s.changes[n].acked
}

// checkRefusals checks that no route or key is refused for good later than applyBound
// after it was added.
func (s *configSoak) checkRefusals() {
	counts := make(map[int]int) // by status
	for _, r := range s.results.all {
		counts[r.status]++
		n, acked := s.version(&r)
		if (r.status == 401 || r.status == 404) && r.sent.Sub(acked) > applyBound {
			s.t.Errorf("%s was refused with %d by daemon %s, %v after version %d was acknowledged", r.id, r.status, r.daemon, r.sent.Sub(acked), n)
		}
	}
	s.t.Logf("%d versions; requests by status: %v", len(s.changes), counts)
	if counts[200] == 0 {
		s.t.Error("no request was served")
	}
}

// checkReversion checks that a daemon that has served a version refuses none of it, or of
// an earlier one, later.
func (s *configSoak) checkReversion() {
	for _, refused := range s.results.all {
		if refused.status != 401 && refused.status != 404 {
			continue
		}
		n, _ := s.version(&refused)
		for _, served := range s.results.all {
			m, _ := s.version(&served)
			if served.status != 200 || served.daemon != refused.daemon || m < n || !served.ended.Before(refused.sent) {
				continue
			}
			if !s.disturbances.overlap(refused.daemon, time.Time{}, refused.ended) {
				s.t.Errorf("%s was refused with %d by daemon %s, which had served version %d with %s before", refused.id, refused.status, refused.daemon, m, served.id)
			}
		}
	}
}

// checkAddedServed checks that all daemons serve the last version after the faults.
func (s *configSoak) checkAddedServed(seed uint64) {
	s.checkRecovery(seed)
	last := s.changes[len(s.changes)-1]
	for _, d := range s.daemons {
		c := newCaller(s.fleet, "last", rand.New(rand.NewPCG(seed, recoveryStream)), &resultList{})
		c.choose = func(context.Context) string { return d.frontend() }
		if r := c.sendOnce(context.Background(), "last-"+d.ip, last.route, last.key); r.status != 200 {
			s.t.Errorf("after the faults, daemon %s responded with %d to a request on the route added last: %v", d.ip, r.status, r.err)
		}
	}
}
