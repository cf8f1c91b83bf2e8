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

// Options configures a run of a scenario.
type Options struct {
	EntryAddresses []string        // entry addresses of the clients, each host:port
	RunID          string          // prefix of all IDs, unique for each run
	OnProgress     func(Summary)   // called once per second; may be nil
	OnFailure      func(err error) // called for each failed request; may be nil
	Stop           <-chan struct{} // once closed, no further chats and bookings start; may be nil
}

// runner holds the state of a running scenario.
type runner struct {
	scenario Scenario
	options  Options
	http     *http.Client
	recorder *recorder
	users    sync.WaitGroup
	sequence uint64 // number of users created; used only by Run's goroutine
}

// Run runs the scenario and returns its summary. After the scenario's duration it
// waits for the chats and bookings in progress. If ctx ends, requests in flight are
// canceled.
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
		r.users.Go(func() { r.runOpenLoop(ctx, stop, g, u.random) })
		return
	}
	for range g.Users {
		u := &chatUser{user: r.newUser(g.Workspace), group: g}
		r.users.Go(func() { u.run(ctx, stop) })
	}
}

// runOpenLoop starts chats at the group's mean rate with exponentially distributed
// gaps. Each chat has its own user.
func (r *runner) runOpenLoop(ctx, stop context.Context, g ChatGroup, random *rand.Rand) {
	for i := 0; ; i++ {
		pause := time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second))
		if !sleep(stop, pause) {
			return
		}
		name := fmt.Sprintf("%s-rate-%d", g.Workspace, i)
		u := &chatUser{user: r.newNamedUser(name, g.Workspace, random.Uint64()), group: g}
		r.users.Go(func() { u.chat(ctx) })
	}
}

// newUser returns a user whose random choices depend only on the scenario's seed
// and the number of users created before. Only Run's goroutine calls it.
func (r *runner) newUser(workspace string) *user {
	r.sequence++
	return r.newNamedUser(fmt.Sprintf("%s-%d", workspace, r.sequence), workspace, r.sequence)
}

func (r *runner) newNamedUser(name, workspace string, sequence uint64) *user {
	random := rand.New(rand.NewPCG(r.scenario.Seed, sequence))
	return &user{
		name:     r.options.RunID + "-" + name,
		runner:   r,
		random:   random,
		deadline: r.scenario.Deadline.Duration,
		client:   caller.New(r.http, workspace, r.options.EntryAddresses, random),
	}
}

// startProgress calls Options.OnProgress once per second until the returned
// function is called.
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

// sleep waits for d. It reports false if ctx ends first.
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
