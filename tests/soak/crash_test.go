package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"cassialatch.dev/standin/runner"
)

const (
	// crashPart is the part of prompts that crashes each server.
	crashPart = "66"
	// contact is how long after the fifth crash, or after a fault of its own, a daemon
	// must refuse requests with the part.
	contact = 3 * time.Second
	// decisive is the number of crashes after which requests with the part must not be sent.
	decisive = 5
	// maxAfterContact is the number of requests with the part that may still be sent.
	maxAfterContact = 3
	// crashSoakLength is the least time for which such requests come, and judgedLength the
	// least time of it in which sound requests must be served.
	crashSoakLength = 12 * time.Second
	judgedLength    = 3 * time.Second
	// minSound is the number of sound requests below which their share says nothing.
	minSound = 20
)

// crashSoak holds what happens while requests with crashPart come.
type crashSoak struct {
	*fleet
	workers    bool // only a worker crashes, behind a server that goes on listening
	bad, sound resultList

	mu      sync.Mutex
	crashes []time.Time
}

// Guards against requests that share a part of their prompts which crashes servers, no
// two alike and at all daemons: they must stop reaching servers, though daemons are
// killed, and sound requests with the same key and other parts must be served.
func TestSoak_CrashingPart(t *testing.T) {
	const firstSlot = 100 // above those of TestSoak
	runSeeds(t, crashRegressions, firstSlot, runCrashSeed)
}

var crashRegressions = []regression{
	{109, "all servers crashed twice, and the reports of the runs with the part arrived last; the part that all requests share was refused"},
	{111, "as 109"},
	{242, "a rarer part was on two servers when their workers crashed first, and seemed to explain all later crashes of these servers"},
}

func runCrashSeed(t *testing.T, seed uint64, slot int) {
	s := &crashSoak{fleet: newFleet(t, binary, slot, 4*time.Second), workers: seed%2 == 0}
	s.crash = s.recordCrash
	const startTimeout = 20 * time.Second
	if !s.awaitReady(startTimeout) {
		t.Fatal("the fleet did not become ready")
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for i := range *callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		c := newCaller(s.fleet, fmt.Sprint("sound", i), rng, &s.sound)
		c.prompt = func(id string) string { return fmt.Sprintf("1:100,%d:50,%s:10", 7+rng.IntN(3), id) }
		wg.Go(func() { s.sendStreams(ctx, c, 20*time.Millisecond) })
	}
	c := newCaller(s.fleet, "bad", rand.New(rand.NewPCG(seed, badStream)), &s.bad)
	c.prompt = func(id string) string { return fmt.Sprintf("1:100,%s:50,%s:10", crashPart, id) }
	wg.Go(func() { s.sendStreams(ctx, c, 300*time.Millisecond) })
	wg.Go(func() { s.killDaemons(ctx, rand.New(rand.NewPCG(seed, killStream))) })
	s.awaitEnd()
	stop()
	wg.Wait()
	s.check()
}

// awaitEnd waits for crashSoakLength, and longer if the crash from which sound requests are
// judged came late.
func (s *crashSoak) awaitEnd() {
	end := time.Now().Add(crashSoakLength)
	for time.Now().Before(end) || time.Now().Before(s.judgedFrom().Add(judgedLength)) {
		time.Sleep(100 * time.Millisecond)
	}
}

// settled returns when daemons must have reacted to the decisive crash, or to the last one
// if there are fewer; zero before the first.
func (s *crashSoak) settled() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[min(len(s.crashes), decisive)-1].Add(contact)
}

// judgedFrom returns from when on sound requests must be served.
func (s *crashSoak) judgedFrom() time.Time { return s.settled().Add(contact) }

// sendStreams sends streams with the fleet's first key, with pauses of at most twice
// the given mean, until the context ends.
func (s *crashSoak) sendStreams(ctx context.Context, c *caller, pause time.Duration) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.sendOnce(ctx, fmt.Sprintf("%s-%d", c.name, n), "stream", s.keys[0])
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * pause))))
	}
}

// recordCrash lets a server crash because of a request with the part. It starts again
// after a while, unless it was only a worker.
func (s *crashSoak) recordCrash(crashed *server) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	crashed.mu.Lock()
	defer crashed.mu.Unlock()
	if s.workers {
		crashed.proxy.reset()
		return
	}
	crashed.proxy.close()
	incarnation := crashed.handler
	const downTime = time.Second
	time.AfterFunc(downTime, func() { crashed.replace(incarnation) })
}

// killDaemons kills one daemon after another until the context ends.
func (s *crashSoak) killDaemons(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		d := s.daemons[rng.IntN(len(s.daemons))]
		end := s.disturbances.begin(d.ip)
		d.signal(syscall.SIGKILL)
		time.Sleep(killSettleTime)
		end()
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
}

// check checks that requests with the part no longer reach servers, and that others are
// served.
func (s *crashSoak) check() {
	settled, judgedFrom := s.settled(), s.judgedFrom()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		s.t.Fatal("no request with the part reached a server")
	}
	late := 0
	s.eachRun(s.bad.all, s.ledger.Runs, func(r *result, run runner.Run) {
		if run.Start.After(settled) && len(s.crashes) >= decisive && s.inContact(r, run.Start) {
			late++
		}
	})
	sent, served := 0, 0
	statuses := make(map[int]int) // of the sound requests
	for _, r := range s.sound.all {
		if r.sent.Before(judgedFrom) || !s.inContact(&r, r.ended) {
			continue
		}
		sent++
		statuses[r.status]++
		if r.status == 200 {
			served++
		}
	}
	s.t.Logf("%d crashes, %d requests with the part later; %d of %d sound requests served, by status: %v", len(s.crashes), late, served, sent, statuses)
	if late > maxAfterContact {
		s.t.Errorf("%d requests with the part reached servers later than %v after crash %d", late, contact, decisive)
	}
	if sent < minSound || 2*served < sent {
		s.t.Errorf("%d of %d sound requests served", served, sent)
	}
}

// inContact reports whether the daemon of a request was undisturbed for the time of
// contact before the given moment.
func (s *crashSoak) inContact(r *result, at time.Time) bool {
	return !s.disturbances.disturbed(r.daemon, at.Add(-contact), at)
}
