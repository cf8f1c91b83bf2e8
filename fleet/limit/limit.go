// Package limit holds each workspace to its request rate and to its number of
// requests in flight at one entry.
package limit

import (
	"math"
	"sync"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/outcome"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

// DefaultMaxIdle is the default of Options.MaxIdle.
const DefaultMaxIdle = 4096

// inFlightRetryAfter is the advice to a caller whose workspace has too many
// requests in flight: it is not known when one of them will end.
const inFlightRetryAfter = time.Second

// Refusals. Another backend server would not help, so they allow no replan.
var (
	errRate     = outcome.NewNotRun(outcome.CodeRateLimited, "workspace is above its request rate")
	errInFlight = outcome.NewNotRun(outcome.CodeRateLimited, "workspace has too many requests in flight").
			WithRetryAfter(inFlightRetryAfter)
)

// Options sets up a limiter.
type Options struct {
	// MaxIdle bounds the workspaces without a request in flight whose rate is
	// remembered. One that was dropped starts again with a full burst.
	MaxIdle int
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}

// Limiter is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu sync.Mutex
	// busy workspaces have a request in flight. They are never dropped, or the
	// count would be lost; the requests themselves bound their number.
	busy map[string]*workspace
	idle *simplelru.LRU[string, *workspace]
}

// workspace is guarded by Limiter.mu.
type workspace struct {
	rate     *rate.Limiter
	inFlight int
}

// New returns a limiter.
func New(o Options) *Limiter {
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	idle, err := simplelru.NewLRU[string, *workspace](o.MaxIdle, nil)
	if err != nil {
		panic(err) // only for a size below 1, which is ruled out above
	}
	return &Limiter{now: o.Now, busy: make(map[string]*workspace), idle: idle}
}

// Acquire admits one request of a workspace under the limits that ws holds now.
// The caller calls release when the request has ended; calls after the first
// have no effect. It fails with a *outcome.Error of outcome not-run.
func (l *Limiter) Acquire(ws *dynamic.Workspace) (release func(), err error) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.find(ws.Name)
	if refusal := w.take(ws, now); refusal != nil {
		l.park(ws.Name, w)
		return nil, refusal
	}
	w.inFlight++
	l.busy[ws.Name] = w
	var once sync.Once
	return func() { once.Do(func() { l.release(ws.Name, w) }) }, nil
}

func (l *Limiter) release(name string, w *workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.inFlight--
	l.park(name, w)
}

// find returns the state of a workspace, taken out of the idle ones. l.mu is
// held.
func (l *Limiter) find(name string) *workspace {
	if w, ok := l.busy[name]; ok {
		return w
	}
	if w, ok := l.idle.Peek(name); ok {
		l.idle.Remove(name)
		return w
	}
	return &workspace{rate: rate.NewLimiter(rate.Inf, 1)}
}

// park moves a workspace without requests in flight to the idle ones. l.mu is
// held.
func (l *Limiter) park(name string, w *workspace) {
	if w.inFlight > 0 {
		return
	}
	delete(l.busy, name)
	l.idle.Add(name, w)
}

// take checks both limits; a request above the one in flight costs no rate.
func (w *workspace) take(ws *dynamic.Workspace, now time.Time) *outcome.Error {
	if ws.MaxInFlight > 0 && w.inFlight >= ws.MaxInFlight {
		return errInFlight
	}
	if ws.RequestsPerSec <= 0 {
		w.rate.SetLimitAt(now, rate.Inf)
		return nil
	}
	w.configure(ws, now)
	reservation := w.rate.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return errRate.WithRetryAfter(delay)
}

// configure follows the configuration, which may have changed.
func (w *workspace) configure(ws *dynamic.Workspace, now time.Time) {
	burst := ws.Burst
	if burst <= 0 {
		burst = max(1, int(math.Ceil(ws.RequestsPerSec)))
	}
	if w.rate.Limit() == rate.Inf {
		w.rate = rate.NewLimiter(rate.Limit(ws.RequestsPerSec), burst)
		return
	}
	w.rate.SetLimitAt(now, rate.Limit(ws.RequestsPerSec))
	w.rate.SetBurstAt(now, burst)
}
