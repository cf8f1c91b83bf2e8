package engine

import (
	"maps"
	"time"
)

// Stats is the engine's exact account of itself, for tests and benches.
type Stats struct {
	Instance     string  `json:"instance"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	Peak         int     `json:"peak"`         // most running and waiting at once
	MeanRunning  float64 `json:"mean_running"` // time average since the start
	Started      int     `json:"started"`      // requests that got a slot
	Finished     int     `json:"finished"`
	Cancelled    int     `json:"cancelled"` // also while they waited
	Crashes      int     `json:"crashes"`
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"` // of the prompt tokens, found in the cache
	CacheTokens  int     `json:"cache_tokens"`  // held now

	StartedByRequest map[string]int `json:"started_by_request"` // by request id

	// StartedLeaving counts requests that began while the engine was leaving;
	// LastStartLeaving is how long after the notice the last of them began.
	StartedLeaving   int           `json:"started_leaving"`
	LastStartLeaving time.Duration `json:"last_start_leaving_ns"`

	Orders      int    `json:"orders"`       // accepted
	StaleOrders int    `json:"stale_orders"` // accepted in spite of an old fence
	Refused     int    `json:"refused"`      // orders refused for an old fence
	Fence       uint64 `json:"fence"`        // highest seen
}

// Stats returns the engine's account of itself now.
func (e *Engine) Stats() Stats {
	o := e.scheduler.occupancy()
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

// countStart counts a request that got a slot, with its tokens. The mutex is
// held.
func (e *Engine) countStart(requestID string, prompt, cached int) {
	e.stats.Started++
	e.stats.PromptTokens += prompt
	e.stats.CachedTokens += cached
	if requestID != "" {
		e.stats.StartedByRequest[requestID]++
	}
	if !e.leaving.IsZero() {
		e.stats.StartedLeaving++
		e.stats.LastStartLeaving = time.Since(e.leaving)
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
