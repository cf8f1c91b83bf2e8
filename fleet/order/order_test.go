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

// lostError is returned for an order that does not reach the engine.
type lostError struct{}

// Error implements error.
func (*lostError) Error() string { return "order was lost" }

// oldFenceError is returned by an engine that refuses an order for its fencing
// number.
type oldFenceError struct{}

// Error implements error.
func (*oldFenceError) Error() string { return "old fence" }

// fakeEngine records orders. If it checks fencing numbers, it refuses old ones.
type fakeEngine struct {
	checks   bool
	lose     int // number of orders to lose before the first one is received
	fence    uint64
	received []engineapi.Order
}

// Order implements Client.
func (e *fakeEngine) Order(_ context.Context, _ string, order engineapi.Order) error {
	if e.lose > 0 {
		e.lose--
		return &lostError{}
	}
	if e.checks && order.Fence < e.fence {
		return &oldFenceError{}
	}
	e.fence = order.Fence
	e.received = append(e.received, order)
	return nil
}

// fakeHomes is a Homes with one engine.
type fakeHomes struct {
	engine   Engine
	majority bool
}

// Engines implements Homes.
func (h *fakeHomes) Engines() []Engine { return []Engine{h.engine} }

// HoldsMajority implements Homes.
func (h *fakeHomes) HoldsMajority(string) bool { return h.majority }

// newConfig returns a configuration with one model that has one adapter.
func newConfig(version uint64, checksFence bool) *dynamic.Config {
	model := &dynamic.Model{Name: "m", ChecksFence: checksFence, Adapters: []string{"bells"}}
	return &dynamic.Config{BaseVersion: version, Models: map[string]*dynamic.Model{"m": model}}
}

// TestSend_OldOrder replays the counterexample of MUT_NO_FENCE in order.pml with an
// engine that checks fencing numbers, which must refuse the old order, and tests
// the conditions for sending to an engine that does not.
func TestSend_OldOrder(t *testing.T) {
	for _, tc := range []struct {
		name     string
		checks   bool
		majority bool
		pause    time.Duration // between reading the configuration and sending
		expected error         // only its type is compared
		fence    uint64        // final fencing number of the engine, initially 3
	}{
		{"A's order 2 comes after B's order 3", true, true, 0, &oldFenceError{}, 3},
		{"the same after a pause and without a majority", true, false, time.Minute, &oldFenceError{}, 3},
		{"engine that does not check, order without a majority", false, false, 0, &NotHomeError{}, 3},
		{"engine that does not check, order after a pause", false, true, maxConfigAge + 1, &PausedError{}, 3},
		{"engine that does not check, order in time", false, true, 0, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			engine := &fakeEngine{checks: tc.checks, fence: 3}
			o := New(Options{
				Config: func() *dynamic.Config { now = now.Add(tc.pause); return newConfig(2, tc.checks) },
				Homes:  &fakeHomes{majority: tc.majority},
				Client: engine,
				Now:    func() time.Time { return now },
			})
			err := o.Send(t.Context(), Engine{ID: "e", Model: "m"})
			is.Equal(reflect.TypeOf(err), reflect.TypeOf(tc.expected))
			is.Equal(engine.fence, tc.fence)
		})
	}
}

// TestSendDue_RepeatsUntilAccepted replays the counterexample of MUT_SEND_ONCE in
// order.pml: orders that are lost must be sent again.
func TestSendDue_RepeatsUntilAccepted(t *testing.T) {
	is := is.New(t)
	config := newConfig(3, true)
	engine := &fakeEngine{checks: true, lose: 2}
	home := &fakeHomes{engine: Engine{ID: "e", Model: "m", Instance: "first"}}
	o := New(Options{
		Config: func() *dynamic.Config { return config },
		Homes:  home, Client: engine, Now: time.Now, Log: zerolog.Nop(),
	})
	round := func() []engineapi.Order {
		engine.received = nil
		o.sendDue(t.Context())
		return engine.received
	}
	is.Equal(len(round()), 0) // lost
	is.Equal(len(round()), 0) // lost
	is.Equal(round(), ForModel(config, config.Models["m"]))
	is.Equal(len(round()), 0) // done
	config = newConfig(4, true)
	is.Equal(len(round()), 2) // newer base document
	home.engine.Instance = "second"
	is.Equal(len(round()), 2) // new process without orders
	is.Equal(engine.fence, uint64(4))
}

// TestSendDue_RepeatsOrdersToUncheckedEngine sends an old order to an engine that
// does not check fencing numbers, after the new one. The new order must be repeated
// after repeatInterval.
func TestSendDue_RepeatsOrdersToUncheckedEngine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	engine := &fakeEngine{}
	config := newConfig(3, false)
	o := New(Options{
		Config: func() *dynamic.Config { return config },
		Homes:  &fakeHomes{engine: Engine{ID: "e", Model: "m", Instance: "first"}, majority: true},
		Client: engine, Now: func() time.Time { return now }, Log: zerolog.Nop(),
	})
	o.sendDue(t.Context())
	is.NoErr(engine.Order(t.Context(), "", engineapi.Order{Fence: 2})) // from a daemon that was paused
	o.sendDue(t.Context())
	is.Equal(engine.fence, uint64(2)) // not repeated yet
	now = now.Add(repeatInterval)
	o.sendDue(t.Context())
	is.Equal(engine.fence, uint64(3))
}

// TestSend_ReadsConfigBeforeEachOrder changes the configuration between two orders
// of one call, as can happen if the process is paused there.
func TestSend_ReadsConfigBeforeEachOrder(t *testing.T) {
	is := is.New(t)
	engine := &fakeEngine{checks: true}
	version := uint64(1)
	o := New(Options{
		Config: func() *dynamic.Config { version++; return newConfig(version, true) },
		Homes:  &fakeHomes{}, Client: engine, Now: time.Now,
	})
	is.NoErr(o.Send(t.Context(), Engine{ID: "e", Model: "m"}))
	is.Equal(len(engine.received), 2)
	is.Equal([]uint64{engine.received[0].Fence, engine.received[1].Fence}, []uint64{2, 3})
}
