package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// failingExecutor is a home that fails every request with err and counts them.
type failingExecutor struct {
	err  error
	runs int
}

// Execute implements forward.Executor.
func (f *failingExecutor) Execute(context.Context, *peerpb.ForwardStart, []byte, forward.Sink) error {
	f.runs++
	return f.err
}

// orderedPlanner chooses all candidates that are not excluded, in their order.
type orderedPlanner struct{}

// Plan implements placement.Planner.
func (orderedPlanner) Plan(req placement.Request, candidates []placement.Candidate) []placement.Choice {
	var choices []placement.Choice
	for _, c := range candidates {
		if !req.Excluded(c.Backend) {
			choices = append(choices, placement.Choice{Backend: c.Backend})
		}
	}
	return choices
}

// Checks how often a request is repeated after each kind of failure, depending on
// its idempotence and the retry budget.
func TestRouter_BoundsRetries(t *testing.T) {
	failed := outcome.NewUnknown(outcome.CodeBackendFailed, "cut").WithReplan()
	lost := outcome.NewUnknown(outcome.CodePeerFailed, "lost").WithReplan()
	tests := []struct {
		name       string
		err        error
		idempotent bool
		budget     float64 // retries per request
		runs       int
	}{
		{"not run: retried until no attempts are left", outcome.NewNotRun(outcome.CodeLoadLimit, "full").WithReplan(), false, 0, maxAttempts},
		{"failed backend server: retried once with budget left", failed, true, 10, 2},
		{"failed backend server: not retried without budget left", failed, true, 0, 1},
		{"lost home: retried once without budget left", lost, true, 0, 2},
		{"lost home: request that may have run is not retried", lost, false, 10, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			home := &failingExecutor{err: test.err}
			config := &dynamic.Config{Models: map[string]*dynamic.Model{"klang-model": {RetryBudget: test.budget}}}
			r := New(Options{
				SelfID: "entry", Directory: directory(maxAttempts + 1), Loads: loadtable.New(time.Second, time.Now), Planner: orderedPlanner{},
				Local: home, Config: func() *dynamic.Config { return config },
			})
			start := &peerpb.ForwardStart{Service: "klang-model", Idempotent: test.idempotent}
			err := r.Route(context.Background(), Request{Start: start}, nil)
			is.Equal(outcome.From(err).Code, outcome.From(test.err).Code)
			is.Equal(home.runs, test.runs)
		})
	}
}

// scriptedHome is a home that fails the first requests with errs, in this order, and
// runs the others.
type scriptedHome struct {
	errs []error
	runs int
}

// Execute implements forward.Executor.
func (f *scriptedHome) Execute(context.Context, *peerpb.ForwardStart, []byte, forward.Sink) error {
	f.runs++
	if f.runs <= len(f.errs) {
		return f.errs[f.runs-1]
	}
	return nil
}

// Guards against a request that is refused because one dial to the only home failed,
// although the home runs other requests.
func TestRouter_TriesUnreachedHomeOnceMore(t *testing.T) {
	unreached := outcome.NewNotRun(outcome.CodePeerFailed, "home was not reached").WithReplan()
	refused := outcome.NewNotRun(outcome.CodeLoadLimit, "full").WithReplan()
	lost := outcome.NewUnknown(outcome.CodePeerFailed, "lost").WithReplan()
	tests := []struct {
		name     string
		backends int
		errs     []error // of the first attempts
		runs     int
		err      error // of the request
	}{
		{"reached at the second attempt", 1, []error{unreached}, 2, nil},
		{"not reached twice", 1, []error{unreached, unreached, unreached}, 2, unreached},
		{"refused by the home", 1, []error{refused}, 1, refused},
		{"lost while it ran", 1, []error{lost}, 1, lost},
		{"lost after it was not reached", 1, []error{unreached, lost}, 2, lost},
		{"other backend servers refuse", 2, []error{unreached, refused}, 3, nil},
		{"attempts are bounded", maxAttempts + 1, []error{unreached, unreached, unreached, unreached}, maxAttempts, unreached},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			home := &scriptedHome{errs: test.errs}
			r := New(Options{
				SelfID: "entry", Directory: directory(test.backends), Loads: loadtable.New(time.Second, time.Now),
				Planner: orderedPlanner{}, Local: home,
			})
			err := r.Route(context.Background(), Request{Start: &peerpb.ForwardStart{Service: "klang-model"}}, nil)
			is.Equal(home.runs, test.runs)
			is.Equal(err == nil, test.err == nil)
			if test.err != nil {
				is.Equal(outcome.From(err).Outcome, outcome.From(test.err).Outcome)
				is.Equal(outcome.From(err).Code, outcome.From(test.err).Code)
			}
		})
	}
}

// directory returns a directory with one daemon and a number of backend servers.
func directory(backends int) *member.Directory {
	d := member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "entry"}, Site: "s"}, time.Now)
	list := &platformapi.VMList{Version: 1, VMs: []platformapi.VM{
		{ID: "entry", Role: platformapi.RoleEntry, Site: "s", Zone: "z", State: platformapi.StateLive},
	}}
	for i := range backends {
		list.VMs = append(list.VMs, platformapi.VM{
			ID: fmt.Sprintf("klang-%d", i), Role: platformapi.RoleBackend, Site: "s", Zone: "z",
			Service: "klang-model", State: platformapi.StateLive,
		})
	}
	d.SetVMList(list)
	return d
}
