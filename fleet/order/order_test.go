package order

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/wire/engineapi"
)

// lostError tells that an order did not reach the engine.
type lostError struct{}

// Error implements error.
func (*lostError) Error() string { return "order was lost" }

// oldFenceError tells that an engine refused an order for its fence.
type oldFenceError struct{}

// Error implements error.
func (*oldFenceError) Error() string { return "old fence" }

// engineFake takes orders, and refuses those with an old fence if it checks.
type engineFake struct {
	checks bool
	lose   int // orders that get lost first
	fence  uint64
	took   []engineapi.Order
}

// Order implements Client.
func (e *engineFake) Order(_ context.Context, _ string, order engineapi.Order) error {
	if e.lose > 0 {
		e.lose--
		return &lostError{}
	}
	if e.checks && order.Fence < e.fence {
		return &oldFenceError{}
	}
	e.fence = order.Fence
	e.took = append(e.took, order)
	return nil
}

// homes is a daemon that is home of one engine.
type homes struct {
	engine   Engine
	majority bool
}

// Engines implements Homes.
func (h *homes) Engines() []Engine { return []Engine{h.engine} }

// HoldsMajority implements Homes.
func (h *homes) HoldsMajority(string) bool { return h.majority }

// configOf returns a configuration with one model that has an adapter.
func configOf(version uint64, checksFence bool) *dynamic.Config {
	model := &dynamic.Model{Name: "m", ChecksFence: checksFence, Adapters: []string{"bells"}}
	return &dynamic.Config{BaseVersion: version, Models: map[string]*dynamic.Model{"m": model}}
}

// TestOrdersAreSentOnlyWhileTheyHold replays MUT_NO_FENCE of order.pml at an
// engine that checks, and what a daemon does for one that does not.
func TestOrdersAreSentOnlyWhileTheyHold(t *testing.T) {
	for _, tc := range []struct {
		name     string
		checks   bool
		majority bool
		pause    time.Duration // between the look and the sending
		expected error         // of the type
		fence    uint64        // of the engine in the end; it begins with 3
	}{
		{"A's order 2 comes after B's order 3", true, true, 0, &oldFenceError{}, 3},
		{"the same after a pause and without a majority", true, false, time.Minute, &oldFenceError{}, 3},
		{"engine that does not check, order without a majority", false, false, 0, &NotHomeError{}, 3},
		{"engine that does not check, order after a pause", false, true, maxLookAge + 1, &PausedError{}, 3},
		{"engine that does not check, order in time", false, true, 0, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			engine := &engineFake{checks: tc.checks, fence: 3}
			o := New(Options{
				Config: func() *dynamic.Config { now = now.Add(tc.pause); return configOf(2, tc.checks) },
				Homes:  &homes{majority: tc.majority},
				Client: engine,
				Now:    func() time.Time { return now },
			})
			err := o.Send(t.Context(), Engine{ID: "e", Model: "m"})
			is.Equal(reflect.TypeOf(err), reflect.TypeOf(tc.expected))
			is.Equal(engine.fence, tc.fence)
		})
	}
}

// TestOrdersAreSentUntilTheEngineHasTheNewest replays MUT_SEND_ONCE.
func TestOrdersAreSentUntilTheEngineHasTheNewest(t *testing.T) {
	is := is.New(t)
	config := configOf(3, true)
	engine := &engineFake{checks: true, lose: 2}
	home := &homes{engine: Engine{ID: "e", Model: "m", Instance: "first"}}
	o := New(Options{
		Config: func() *dynamic.Config { return config },
		Homes:  home, Client: engine, Now: time.Now, Log: zerolog.Nop(),
	})
	round := func() []engineapi.Order {
		engine.took = nil
		o.sendDue(t.Context())
		return engine.took
	}
	is.Equal(len(round()), 0) // lost
	is.Equal(len(round()), 0) // lost
	is.Equal(round(), ForModel(config, config.Models["m"]))
	is.Equal(len(round()), 0) // done
	config = configOf(4, true)
	is.Equal(len(round()), 2) // a newer base
	home.engine.Instance = "second"
	is.Equal(len(round()), 2) // another process has forgotten its orders
	is.Equal(engine.fence, uint64(4))
}

// TestUncheckedEngineGetsItsOrdersAgain: an old order may have come last.
func TestUncheckedEngineGetsItsOrdersAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	engine := &engineFake{}
	config := configOf(3, false)
	o := New(Options{
		Config: func() *dynamic.Config { return config },
		Homes:  &homes{engine: Engine{ID: "e", Model: "m", Instance: "first"}, majority: true},
		Client: engine, Now: func() time.Time { return now }, Log: zerolog.Nop(),
	})
	o.sendDue(t.Context())
	is.NoErr(engine.Order(t.Context(), "", engineapi.Order{Fence: 2})) // from a daemon that was paused
	o.sendDue(t.Context())
	is.Equal(engine.fence, uint64(2)) // not yet
	now = now.Add(repeatInterval)
	o.sendDue(t.Context())
	is.Equal(engine.fence, uint64(3))
}

// TestOrdersAfterThePauseAreOfTheNewConfiguration pauses between two orders.
func TestOrdersAfterThePauseAreOfTheNewConfiguration(t *testing.T) {
	is := is.New(t)
	engine := &engineFake{checks: true}
	looks := uint64(1)
	o := New(Options{
		Config: func() *dynamic.Config { looks++; return configOf(looks, true) },
		Homes:  &homes{}, Client: engine, Now: time.Now,
	})
	is.NoErr(o.Send(t.Context(), Engine{ID: "e", Model: "m"}))
	is.Equal(len(engine.took), 2)
	is.Equal([]uint64{engine.took[0].Fence, engine.took[1].Fence}, []uint64{2, 3})
}
