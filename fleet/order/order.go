// Package order tells model engines what the configuration asks of them. What
// is ordered is a pure function of the base document, and its version is the
// fencing number, so two daemons that both send orders send the same.
package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/pause"
	"cassialatch.dev/wire/engineapi"
)

// Kinds of orders.
const (
	kindLoadModel   = "load_model"
	kindLoadAdapter = "load_adapter"
)

// interval is the time between two looks at what is to be ordered.
const interval = time.Second

// maxLookAge is how old a look at the configuration may be when an order goes
// to an engine that does not check fencing numbers. An older one means that
// the process was paused in between.
const maxLookAge = 200 * time.Millisecond

// ForModel returns the orders that a configuration implies for engines of a model.
func ForModel(config *dynamic.Config, model *dynamic.Model) []engineapi.Order {
	fence := config.BaseVersion
	orders := []engineapi.Order{{Kind: kindLoadModel, Name: model.Name, Fence: fence}}
	for _, adapter := range slices.Sorted(slices.Values(model.Adapters)) {
		orders = append(orders, engineapi.Order{Kind: kindLoadAdapter, Name: adapter, Fence: fence})
	}
	return orders
}

// Engine is a model engine that this daemon is home of.
type Engine struct {
	ID       string
	Address  string
	Model    string
	Instance string // its process; another one has forgotten its orders
}

// Homes lists the engines that this daemon is home of at this moment.
type Homes interface {
	Engines() []Engine
	// HoldsMajority reports whether this daemon now holds the majority of an engine's
	// shares, by the monotonic clock.
	HoldsMajority(engine string) bool
}

// Client sends orders.
type Client interface {
	Order(ctx context.Context, address string, order engineapi.Order) error
}

// PausedError tells that an order was not sent because the process was paused
// since it looked at the configuration.
type PausedError struct {
	Engine    string
	ConfigAge time.Duration // of the look
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("order: look at the configuration for %s is %v old", e.Engine, e.ConfigAge)
}

// NotHomeError tells that an order was not sent because another daemon may be
// home of the engine.
type NotHomeError struct{ Engine string }

// Error implements error.
func (e *NotHomeError) Error() string { return "order: not home of " + e.Engine }

// Options configure an Orderer.
type Options struct {
	Config func() *dynamic.Config
	Homes  Homes
	Client Client
	Now    func() time.Time
	Log    zerolog.Logger
}

// repeatInterval is the time after which an engine that does not check fencing
// numbers gets its orders again: an old order from a daemon that was paused may
// have reached it last.
const repeatInterval = 30 * time.Second

// done is what an engine was ordered last, and when.
type done struct {
	version  uint64
	instance string
	at       time.Time
}

// Orderer sends orders to the engines that this daemon is home of.
type Orderer struct {
	opts Options
	done map[string]done // by engine; used by Run's goroutine only
}

// New returns an Orderer.
func New(opts Options) *Orderer {
	return &Orderer{opts: opts, done: make(map[string]done)}
}

// Run sends orders as they become due until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.sendDue(ctx)
		pause.For(ctx, interval)
	}
}

// sendDue sends the orders of each engine that has not had them.
func (o *Orderer) sendDue(ctx context.Context) {
	config := o.opts.Config()
	if config == nil {
		return
	}
	for _, engine := range o.opts.Homes.Engines() {
		if !o.due(config, engine) {
			continue
		}
		if err := o.Send(ctx, engine); err != nil {
			o.opts.Log.Warn().Err(err).Str("backend", engine.ID).Msg("orders not accepted")
			continue
		}
		o.done[engine.ID] = done{version: config.BaseVersion, instance: engine.Instance, at: o.opts.Now()}
	}
}

// due reports whether an engine is to get its orders.
func (o *Orderer) due(config *dynamic.Config, engine Engine) bool {
	last := o.done[engine.ID]
	if last.version != config.BaseVersion || last.instance != engine.Instance {
		return true
	}
	model, known := config.Models[engine.Model]
	unchecked := known && !model.ChecksFence
	return unchecked && o.opts.Now().Sub(last.at) >= repeatInterval
}

// Send sends one engine its orders. It looks at the configuration anew before
// each, so that a pause between two orders cannot make it send an old one.
func (o *Orderer) Send(ctx context.Context, engine Engine) error {
	for i := 0; ; i++ {
		looked := o.opts.Now()
		config := o.opts.Config()
		model, known := config.Models[engine.Model]
		if !known {
			return nil
		}
		orders := ForModel(config, model)
		if i >= len(orders) {
			return nil
		}
		if err := o.sendOne(ctx, engine, model, orders[i], looked); err != nil {
			return err
		}
	}
}

// sendOne sends one order. An engine that checks fencing numbers refuses an old
// one by itself; for one that does not, the daemon must hold the engine's
// shares and must not have been paused since it looked.
func (o *Orderer) sendOne(ctx context.Context, engine Engine, model *dynamic.Model, order engineapi.Order, looked time.Time) error {
	if !model.ChecksFence {
		if !o.opts.Homes.HoldsMajority(engine.ID) {
			return &NotHomeError{Engine: engine.ID}
		}
		if age := o.opts.Now().Sub(looked); age > maxLookAge {
			return &PausedError{Engine: engine.ID, ConfigAge: age}
		}
	}
	return o.opts.Client.Order(ctx, engine.Address, order)
}
