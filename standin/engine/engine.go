// Package engine is a stand-in for a model engine: it serves the protocol of
// wire/engineapi with continuous batching, a bounded prefix cache, priorities
// and streams that can be resumed. A token is a word between white space.
//
// Control endpoints:
//
//	POST /control/slow?factor=F    all times are multiplied by F
//	POST /control/leaving?on=BOOL  reports say that the engine is leaving
//	GET  /control/stats            Stats
package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cassialatch.dev/wire/engineapi"
	"github.com/cockroachdb/errors"
)

// Config says how the engine behaves.
type Config struct {
	Instance        string        // process instance, e.g. name and start time
	Slots           int           // requests that run at once
	PrefillPerToken time.Duration // for each prompt token that is not cached
	DecodePerToken  time.Duration // with one request in the batch
	BatchGrowth     float64       // slower decoding for each further request, as a fraction
	CacheTokens     int           // bound of the prefix cache
	ReportLag       time.Duration // load reports are this late
	EventLag        time.Duration // cache events are this late
	EventGap        uint64        // each EventGap-th cache event is lost; 0: none
	CheckFence      bool          // refuse orders with an old fencing number
	ResumeGrace     time.Duration // work goes on this long without a reader
	StreamRetention time.Duration // ended streams can be read this long
	CrashMarker     string        // a request that holds it crashes the engine; empty: none
	OnCrash         func()        // called at a crash, before the engine starts anew
}

// DefaultConfig returns the behaviour of an ordinary engine.
func DefaultConfig() Config {
	return Config{
		Instance:        fmt.Sprintf("engine-%d", time.Now().UnixNano()),
		Slots:           8,
		PrefillPerToken: 500 * time.Microsecond,
		DecodePerToken:  4 * time.Millisecond,
		BatchGrowth:     0.05,
		CacheTokens:     200_000,
		ReportLag:       time.Second,
		EventLag:        time.Second,
		StreamRetention: 30 * time.Second,
	}
}

// errCrashed ends the streams of an engine that has crashed.
var errCrashed = errors.New("engine crashed")

// loadSample is the engine's load from one moment on.
type loadSample struct {
	at     time.Time
	report engineapi.LoadReport
}

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	config    Config
	scheduler *scheduler
	mux       *http.ServeMux

	mu        sync.Mutex
	instance  string
	life      context.Context // ends at a crash
	crash     context.CancelCauseFunc
	cache     *prefixCache
	streams   map[string]*stream
	slow      float64
	samples   []loadSample // the oldest is the one to report
	load      engineapi.LoadReport
	leaving   time.Time // when it began; zero: not leaving
	fence     uint64
	requests  uint64
	stats     Stats
	restarted int
}

// New returns an engine.
func New(c Config) *Engine {
	e := &Engine{config: c, mux: http.NewServeMux(), slow: 1}
	e.scheduler = newScheduler(c.Slots, e.loadChanged)
	e.stats.StartedByRequest = map[string]int{}
	e.begin(c.Instance)
	e.routes()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	instance := e.instance
	e.mu.Unlock()
	w.Header().Set(engineapi.HeaderInstance, instance)
	e.mux.ServeHTTP(w, r)
}

// begin starts a process instance with nothing cached. The mutex is held or
// not needed yet.
func (e *Engine) begin(instance string) {
	e.instance = instance
	e.life, e.crash = context.WithCancelCause(context.Background())
	e.cache = newPrefixCache(e.config.CacheTokens, e.config.EventGap)
	e.streams = map[string]*stream{}
	e.load.Instance = instance
	e.load.CachedTokens = 0
	e.samples = nil
	e.sample()
}

// Crash drops all work and all cached context at once and starts a new
// process instance.
func (e *Engine) Crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(errCrashed)
	e.restarted++
	e.stats.Crashes++
	e.begin(fmt.Sprintf("%s+%d", e.config.Instance, e.restarted))
}

// SetSlowdown multiplies all times by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetLeaving makes the reports say whether the engine is leaving.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = time.Time{}
	if on {
		e.leaving = time.Now()
	}
	e.load.Leaving = on
	e.sample()
}

// scaled returns a duration under the present slowness.
func (e *Engine) scaled(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(d) * e.slow)
}

// loadChanged records the load for later reports.
func (e *Engine) loadChanged(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Running, e.load.Waiting = running, waiting
	e.sample()
}

// sample appends the load and drops samples too old to be reported.
func (e *Engine) sample() {
	now := time.Now()
	e.samples = append(e.samples, loadSample{at: now, report: e.load})
	e.dropSamples(now)
}

func (e *Engine) dropSamples(now time.Time) {
	due := now.Add(-e.config.ReportLag)
	for len(e.samples) > 1 && !e.samples[1].at.After(due) {
		e.samples = e.samples[1:]
	}
}

// Load returns the report that a reader gets now, late by the report lag.
func (e *Engine) Load() engineapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropSamples(time.Now())
	report := e.samples[0].report
	report.AgeMs = e.config.ReportLag.Milliseconds()
	return report
}

// crashes tells whether the request makes the engine crash.
func (e *Engine) crashes(req engineapi.ChatRequest) bool {
	if e.config.CrashMarker == "" {
		return false
	}
	for _, m := range req.Messages {
		if strings.Contains(m.Content, e.config.CrashMarker) {
			return true
		}
	}
	return false
}
