package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cassialatch.dev/standin/caller"
)

const progressPeriod = time.Second

// Options say how a scenario is run.
type Options struct {
	EntryAddresses []string        // entry addresses that callers know, host:port
	RunID          string          // makes ids differ between runs
	OnProgress     func(Summary)   // called each second; nil: not at all
	OnFailure      func(err error) // called with each failed request; nil: not at all
	Stop           <-chan struct{} // once closed, no chat and no booking starts; nil: never
}

// runner is a scenario under way.
type runner struct {
	scenario Scenario
	options  Options
	http     *http.Client
	recorder *recorder
	users    sync.WaitGroup
	sequence uint64 // of random streams; only used by Run's goroutine
}

// Run runs the scenario to its end and returns what happened. Chats that have
// begun are finished after the scenario's duration; when ctx ends, requests
// in flight are given up.
func Run(ctx context.Context, s Scenario, o Options) Summary {
	r := &runner{scenario: s, options: o, http: caller.NewHTTPClient(), recorder: newRecorder()}
	defer r.http.CloseIdleConnections()
	stop, cancel := context.WithTimeout(ctx, s.Duration.Duration)
	defer cancel()
	go func() {
		select {
		case <-o.Stop:
			cancel()
		case <-stop.Done():
		}
	}()
	for _, g := range s.Chats {
		r.startChats(ctx, stop, g)
	}
	for _, g := range s.Bookings {
		for range g.Users {
			u := &bookingUser{user: r.newUser(g.Workspace), group: g}
			r.users.Go(func() { u.run(ctx, stop) })
		}
	}
	stopProgress := r.startProgress()
	r.users.Wait()
	stopProgress()
	return r.recorder.summary(s.Name)
}

func (r *runner) startChats(ctx, stop context.Context, g ChatGroup) {
	if g.Rate > 0 {
		u := r.newUser(g.Workspace)
		r.users.Go(func() { r.openLoop(ctx, stop, g, u.random) })
		return
	}
	for range g.Users {
		u := &chatUser{user: r.newUser(g.Workspace), group: g}
		r.users.Go(func() { u.run(ctx, stop) })
	}
}

// openLoop begins chats at the group's rate, each with a user of its own.
func (r *runner) openLoop(ctx, stop context.Context, g ChatGroup, random *rand.Rand) {
	for i := 0; ; i++ {
		pause := time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second))
		if !sleep(stop, pause) {
			return
		}
		name := fmt.Sprintf("%s-rate-%d", g.Workspace, i)
		u := &chatUser{user: r.userWith(name, g.Workspace, random.Uint64()), group: g}
		r.users.Go(func() { u.chat(ctx) })
	}
}

// newUser returns a user whose random choices follow from the seed. Only
// Run's goroutine calls it.
func (r *runner) newUser(workspace string) *user {
	r.sequence++
	return r.userWith(fmt.Sprintf("%s-%d", workspace, r.sequence), workspace, r.sequence)
}

func (r *runner) userWith(name, workspace string, sequence uint64) *user {
	random := rand.New(rand.NewPCG(r.scenario.Seed, sequence))
	return &user{
		name:     r.options.RunID + "-" + name,
		runner:   r,
		random:   random,
		deadline: r.scenario.Deadline.Duration,
		client:   caller.New(r.http, workspace, r.options.EntryAddresses, random),
	}
}

// startProgress reports each second until the returned function is called.
func (r *runner) startProgress() (stop func()) {
	if r.options.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.options.OnProgress(r.recorder.summary(r.scenario.Name))
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}

// sleep reports false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
