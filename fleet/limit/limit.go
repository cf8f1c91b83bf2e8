// Package limit limits the request rate and the number of in-flight requests of each
// workspace. The limits apply per entry, which is a daemon that accepts requests from
// callers; entries do not share their counts. Limiter is safe for concurrent use.
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

// inFlightRetryAfter is the retry delay returned when a workspace has too many requests
// in flight. It is fixed, because the time at which one of them ends is unknown.
const inFlightRetryAfter = time.Second

// Errors for requests above a limit. They do not permit replanning, because the limits
// are the same for every backend server.
var (
	errRate     = outcome.NewNotRun(outcome.CodeRateLimited, "workspace is above its request rate")
	errInFlight = outcome.NewNotRun(outcome.CodeRateLimited, "workspace has too many requests in flight").
			WithRetryAfter(inFlightRetryAfter)
)

// Options configures a Limiter. Zero values select the defaults.
type Options struct {
	// MaxIdle is the maximum number of workspaces without a request in flight whose
	// rate limiter is kept. The least recently active one is evicted; an evicted
	// workspace starts again with a full burst.
	MaxIdle int
	// Now is the clock; nil selects time.Now.
	Now func() time.Time
}

// Limiter enforces the limits of workspaces. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu sync.Mutex
	// busy holds the workspaces with a request in flight. They are never evicted,
	// because that would lose the in-flight count. Their number is at most the number
	// of requests in flight.
	busy map[string]*workspace
	// idle holds the workspaces without a request in flight.
	idle *simplelru.LRU[string, *workspace]
}

// workspace is the limiter state of one workspace. It is guarded by Limiter.mu.
type workspace struct {
	rate     *rate.Limiter
	inFlight int
}

// New returns a Limiter without any state of workspaces.
func New(o Options) *Limiter {
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	idle, err := simplelru.NewLRU[string, *workspace](o.MaxIdle, nil)
	if err != nil {
		panic(err) // unreachable: NewLRU fails only for sizes below 1
	}
	return &Limiter{now: o.Now, busy: make(map[string]*workspace), idle: idle}
}

// Acquire admits one request of a workspace if it is within the limits in ws, which may
// differ between calls. The caller must call release when the request has ended; calls
// after the first have no effect. A refusal is an *outcome.Error with outcome not-run.
func (l *Limiter) Acquire(ws *dynamic.Workspace) (release func(), err error) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.takeState(ws.Name)
	if refusal := w.admit(ws, now); refusal != nil {
		l.moveToIdle(ws.Name, w)
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
	l.moveToIdle(name, w)
}

// takeState returns the state of a workspace and removes it from the idle list. It
// returns a new state if there is none. The caller holds l.mu.
func (l *Limiter) takeState(name string) *workspace {
	if w, ok := l.busy[name]; ok {
		return w
	}
	if w, ok := l.idle.Peek(name); ok {
		l.idle.Remove(name)
		return w
	}
	return &workspace{rate: rate.NewLimiter(rate.Inf, 1)}
}

// moveToIdle adds a workspace to the idle list if it has no requests in flight. The
// caller holds l.mu.
func (l *Limiter) moveToIdle(name string, w *workspace) {
	if w.inFlight > 0 {
		return
	}
	delete(l.busy, name)
	l.idle.Add(name, w)
}

// admit checks both limits and returns the refusal, or nil. A refused request does not
// consume a token of the rate limiter.
func (w *workspace) admit(ws *dynamic.Workspace, now time.Time) *outcome.Error {
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

// configure applies the rate and the burst in ws to the rate limiter.
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
