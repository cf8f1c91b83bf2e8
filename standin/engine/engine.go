// Package engine simulates a model engine for tests, benchmarks and demos. It
// serves the protocol of wire/engineapi with continuous batching, a bounded prefix
// cache, priorities and resumable streams. Tokens are words separated by white
// space. An Engine is safe for concurrent use.
//
// Control endpoints:
//
//	POST /control/slow?factor=F    multiplies prefill and decode times by F
//	POST /control/leaving?on=BOOL  sets the leaving flag of load reports
//	GET  /control/stats            returns Stats
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

// Config sets the behavior of an engine.
type Config struct {
	Instance        string        // ID of the process instance, e.g. name and start time
	Slots           int           // maximum number of requests that run at once
	PrefillPerToken time.Duration // prefill time per uncached prompt token
	DecodePerToken  time.Duration // decode time per token of a request that runs alone
	BatchGrowth     float64       // relative increase of the decode time per further running request
	CacheTokens     int           // capacity of the prefix cache in tokens
	ReportLag       time.Duration // delay of load reports
	EventLag        time.Duration // delay of cache events
	EventGap        uint64        // drop every EventGap-th cache event; 0: drop none
	CheckFence      bool          // refuse orders with a fencing number below the highest seen
	ResumeGrace     time.Duration // how long a request keeps running without a reader
	StreamRetention time.Duration // how long ended streams stay readable
	CrashMarker     string        // a request that contains this text crashes the engine; empty: none
	OnCrash         func()        // called at a crash, before the engine restarts; may be nil
}

// DefaultConfig returns the configuration of a typical engine.
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

// errCrashed is the error of requests that a crash of the engine ended.
var errCrashed = errors.New("engine crashed")

// loadSample is a load report and the time from which it was accurate.
type loadSample struct {
	at     time.Time
	report engineapi.LoadReport
}

// Engine is a simulated model engine. It implements http.Handler.
type Engine struct {
	config    Config
	scheduler *scheduler
	mux       *http.ServeMux

	mu           sync.Mutex
	instance     string
	lifetime     context.Context // of the process instance; canceled at a crash
	crash        context.CancelCauseFunc
	cache        *prefixCache
	streams      map[string]*stream
	slowdown     float64
	samples      []loadSample // oldest first; the first one is reported
	currentLoad  engineapi.LoadReport
	leavingSince time.Time // zero: not leaving
	fence        uint64
	requests     uint64
	stats        Stats
	restarts     int
}

// New returns an engine with an empty cache.
func New(c Config) *Engine {
	e := &Engine{config: c, mux: http.NewServeMux(), slowdown: 1}
	e.scheduler = newScheduler(c.Slots, e.updateLoad)
	e.stats.StartedByRequest = map[string]int{}
	e.startInstance(c.Instance)
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

// startInstance starts a process instance with an empty cache. The caller must hold
// e.mu, except in New.
func (e *Engine) startInstance(instance string) {
	e.instance = instance
	e.lifetime, e.crash = context.WithCancelCause(context.Background())
	e.cache = newPrefixCache(e.config.CacheTokens, e.config.EventGap)
	e.streams = map[string]*stream{}
	e.currentLoad.Instance = instance
	e.currentLoad.CachedTokens = 0
	e.samples = nil
	e.addSample()
}

// Crash aborts all requests, discards the cache and starts a new process
// instance.
func (e *Engine) Crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(errCrashed)
	e.restarts++
	e.stats.Crashes++
	e.startInstance(fmt.Sprintf("%s+%d", e.config.Instance, e.restarts))
}

// SetSlowdown multiplies the configured prefill and decode times by factor. It
// replaces the previous factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLeaving sets the leaving flag of load reports.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince = time.Time{}
	if on {
		e.leavingSince = time.Now()
	}
	e.currentLoad.Leaving = on
	e.addSample()
}

// scaled returns d multiplied by the slowdown factor.
func (e *Engine) scaled(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(d) * e.slowdown)
}

// updateLoad records a change of the scheduler's load.
func (e *Engine) updateLoad(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentLoad.Running, e.currentLoad.Waiting = running, waiting
	e.addSample()
}

// addSample appends the current load and drops samples that are no longer needed.
// The caller must hold e.mu.
func (e *Engine) addSample() {
	now := time.Now()
	e.samples = append(e.samples, loadSample{at: now, report: e.currentLoad})
	e.dropOldSamples(now)
}

func (e *Engine) dropOldSamples(now time.Time) {
	cutoff := now.Add(-e.config.ReportLag)
	for len(e.samples) > 1 && !e.samples[1].at.After(cutoff) {
		e.samples = e.samples[1:]
	}
}

// Load returns the load as it was Config.ReportLag ago, or the initial load of a
// process instance that is younger.
func (e *Engine) Load() engineapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOldSamples(time.Now())
	report := e.samples[0].report
	report.AgeMs = e.config.ReportLag.Milliseconds()
	return report
}

// causesCrash reports whether the request contains the crash marker.
func (e *Engine) causesCrash(req engineapi.ChatRequest) bool {
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
