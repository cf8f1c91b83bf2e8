// Package order sends orders to model engines to load the models and adapters that
// the configuration assigns to them. The orders are a pure function of the base
// document, whose version is the fencing number, so two daemons that both send
// orders for a version send the same ones.
//
// An engine that checks fencing numbers refuses orders of an older version. To an
// engine that does not, a daemon sends orders only while it holds the majority of
// the engine's shares and was not paused since it read the configuration, and it
// repeats them.
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

// checkInterval is the time between two checks for orders to send.
const checkInterval = time.Second

// maxConfigAge is the maximum time between reading the configuration and sending an
// order to an engine that does not check fencing numbers. A longer time means that
// the process was paused in between.
const maxConfigAge = 200 * time.Millisecond

// ForModel returns the orders for the engines of a model, in the order of sending:
// the model first, then its adapters by name.
func ForModel(config *dynamic.Config, model *dynamic.Model) []engineapi.Order {
	fence := config.BaseVersion
	orders := []engineapi.Order{{Kind: kindLoadModel, Name: model.Name, Fence: fence}}
	for _, adapter := range slices.Sorted(slices.Values(model.Adapters)) {
		orders = append(orders, engineapi.Order{Kind: kindLoadAdapter, Name: adapter, Fence: fence})
	}
	return orders
}

// Engine is a model engine whose home is this daemon.
type Engine struct {
	ID       string
	Address  string
	Model    string
	Instance string // ID of its process; a new process has not received any orders
}

// Homes provides the engines whose home is this daemon.
type Homes interface {
	// Engines returns the engines whose home is this daemon now.
	Engines() []Engine
	// HoldsMajority reports whether this daemon now holds the majority of an
	// engine's shares, according to the monotonic clock.
	HoldsMajority(engine string) bool
}

// Client sends an order to the engine at an address.
type Client interface {
	Order(ctx context.Context, address string, order engineapi.Order) error
}

// PausedError is returned if an order was not sent because the process was paused
// after it read the configuration.
type PausedError struct {
	Engine    string
	ConfigAge time.Duration // time since the configuration was read
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("order: not sent to engine %s: the configuration it relies on is %v old", e.Engine, e.ConfigAge)
}

// NotHomeError is returned if an order was not sent because this daemon does not
// hold the majority of the engine's shares, so another daemon may be its home.
type NotHomeError struct{ Engine string }

// Error implements error.
func (e *NotHomeError) Error() string { return "order: not sent: not home of engine " + e.Engine }

// Options configure an Orderer.
type Options struct {
	Config func() *dynamic.Config
	Homes  Homes
	Client Client
	Now    func() time.Time
	Log    zerolog.Logger
}

// repeatInterval is the time after which orders are sent again to an engine that
// does not check fencing numbers. An old order from a daemon that was paused may
// have reached it after the new ones.
const repeatInterval = 30 * time.Second

// sentOrders describes the orders that an engine accepted last.
type sentOrders struct {
	version  uint64
	instance string
	at       time.Time
}

// Orderer sends orders to the engines whose home is this daemon. Run must not be
// called concurrently with itself.
type Orderer struct {
	opts     Options
	lastSent map[string]sentOrders // by engine; accessed only by Run's goroutine
}

// New returns an Orderer.
func New(opts Options) *Orderer {
	return &Orderer{opts: opts, lastSent: make(map[string]sentOrders)}
}

// Run sends orders as they become due until ctx is done.
func (o *Orderer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.sendDue(ctx)
		pause.For(ctx, checkInterval)
	}
}

// sendDue sends the due orders of all engines. It logs failures and leaves the
// orders due.
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
		o.lastSent[engine.ID] = sentOrders{version: config.BaseVersion, instance: engine.Instance, at: o.opts.Now()}
	}
}

// due reports whether the orders of an engine must be sent.
func (o *Orderer) due(config *dynamic.Config, engine Engine) bool {
	last := o.lastSent[engine.ID]
	if last.version != config.BaseVersion || last.instance != engine.Instance {
		return true
	}
	model, known := config.Models[engine.Model]
	unchecked := known && !model.ChecksFence
	return unchecked && o.opts.Now().Sub(last.at) >= repeatInterval
}

// Send sends all orders to an engine. It reads the configuration again before each
// order, so that it does not send an outdated order after a pause.
func (o *Orderer) Send(ctx context.Context, engine Engine) error {
	for i := 0; ; i++ {
		readAt := o.opts.Now()
		config := o.opts.Config()
		model, known := config.Models[engine.Model]
		if !known {
			return nil
		}
		orders := ForModel(config, model)
		if i >= len(orders) {
			return nil
		}
		if err := o.sendOne(ctx, engine, model, orders[i], readAt); err != nil {
			return err
		}
	}
}

// sendOne sends one order. An engine that checks fencing numbers refuses an old
// order itself. For an engine that does not, this daemon must hold the majority of
// its shares and must not have been paused since readAt, when it read the
// configuration.
func (o *Orderer) sendOne(ctx context.Context, engine Engine, model *dynamic.Model, order engineapi.Order, readAt time.Time) error {
	if !model.ChecksFence {
		if !o.opts.Homes.HoldsMajority(engine.ID) {
			return &NotHomeError{Engine: engine.ID}
		}
		if age := o.opts.Now().Sub(readAt); age > maxConfigAge {
			return &PausedError{Engine: engine.ID, ConfigAge: age}
		}
	}
	return o.opts.Client.Order(ctx, engine.Address, order)
}
