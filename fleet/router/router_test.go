package router_test

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
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// failing is a home whose backend servers all fail.
type failing struct {
	runs int
}

// Execute implements forward.Executor.
func (f *failing) Execute(context.Context, *peerpb.ForwardStart, []byte, forward.Sink) error {
	f.runs++
	return outcome.NewUnknown(outcome.CodeBackendFailed, "no answer").WithReplan()
}

func TestRetriesFollowTheModelsBudget(t *testing.T) {
	for _, c := range []struct {
		budget  float64
		retried bool
	}{{0, false}, {1, true}} {
		t.Run(fmt.Sprint("budget ", c.budget), func(t *testing.T) {
			is := is.New(t)
			home := &failing{}
			directory := member.NewDirectory(member.Options{
				Self: &peerpb.Identity{Id: "entry-0"}, Site: "bench", PeerTimeout: time.Hour,
			}, time.Now)
			list := &platformapi.VMList{Version: 1, VMs: []platformapi.VM{
				{ID: "entry-0", Role: platformapi.RoleEntry, State: platformapi.StateLive, Site: "bench"},
			}}
			for i := range 4 {
				list.VMs = append(list.VMs, platformapi.VM{
					ID: backendID(i), Role: platformapi.RoleBackend, State: platformapi.StateLive,
					Site: "bench", Service: service,
				})
			}
			directory.SetList(list)
			config := &dynamic.Config{Models: map[string]*dynamic.Model{service: {RetryBudget: c.budget}}}
			r := router.New(router.Options{
				SelfID: "entry-0", Directory: directory, Loads: loadtable.New(time.Hour, time.Now),
				Planner: placement.NewPlanner(placement.Options{}), Local: home,
				Config: func() *dynamic.Config { return config },
			})
			err := r.Route(context.Background(), router.Request{
				Start: &peerpb.ForwardStart{Service: service, Idempotent: true},
			}, nil)
			is.Equal(outcome.From(err).Outcome, outcome.Unknown)
			is.Equal(home.runs > 1, c.retried)
		})
	}
}
