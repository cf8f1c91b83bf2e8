package engine

import (
	"maps"
	"time"
)

// Stats holds exact, current statistics of an engine for tests and benchmarks.
type Stats struct {
	Instance     string  `json:"instance"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	Peak         int     `json:"peak"`         // maximum of running plus waiting
	MeanRunning  float64 `json:"mean_running"` // average over time since the start
	Started      int     `json:"started"`      // requests that were assigned a slot
	Finished     int     `json:"finished"`
	Cancelled    int     `json:"cancelled"` // including those canceled in the queue
	Crashes      int     `json:"crashes"`
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"` // prompt tokens found in the cache
	CacheTokens  int     `json:"cache_tokens"`  // currently cached

	StartedByRequest map[string]int `json:"started_by_request"` // by request ID

	// StartedLeaving counts requests that started while the engine was leaving.
	// LastStartLeaving is the time from SetLeaving to the last of these starts.
	StartedLeaving   int           `json:"started_leaving"`
	LastStartLeaving time.Duration `json:"last_start_leaving_ns"`

	Orders      int    `json:"orders"`       // accepted
	StaleOrders int    `json:"stale_orders"` // accepted although the fencing number was old
	Refused     int    `json:"refused"`      // orders refused because of an old fencing number
	Fence       uint64 `json:"fence"`        // highest fencing number seen
}

// Stats returns the current statistics.
func (e *Engine) Stats() Stats {
	o := e.scheduler.stats()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Instance = e.instance
	s.Running, s.Waiting, s.Peak, s.MeanRunning = o.running, o.waiting, o.peak, o.mean
	s.CacheTokens = e.cache.tokens
	s.Fence = e.fence
	s.StartedByRequest = maps.Clone(s.StartedByRequest)
	return s
}

// countStart counts a request that was assigned a slot, and its tokens. The caller
// must hold e.mu.
func (e *Engine) countStart(requestID string, prompt, cached int) {
	e.stats.Started++
	e.stats.PromptTokens += prompt
	e.stats.CachedTokens += cached
	if requestID != "" {
		e.stats.StartedByRequest[requestID]++
	}
	if !e.leavingSince.IsZero() {
		e.stats.StartedLeaving++
		e.stats.LastStartLeaving = time.Since(e.leavingSince)
	}
}

// countEnd counts a request that ended.
func (e *Engine) countEnd(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.stats.Cancelled++
		return
	}
	e.stats.Finished++
}
