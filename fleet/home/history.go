package home

import (
	"sync"
	"time"
)

// Width and number of the buckets of a history.
const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = 40 // 10 s, longer than any report is late
)

// history remembers the highest and lowest in-flight counts of the last
// seconds, so that a late report can be compared with what was in flight when
// it was made.
type history struct {
	now func() time.Time

	mu    sync.Mutex
	start time.Time
	last  int64 // index of the newest bucket
	value int   // latest count
	peaks [bucketCount]int
	lows  [bucketCount]int
}

// newHistory returns a history of zeros.
func newHistory(now func() time.Time) *history {
	return &history{now: now, start: now()}
}

// note records the present count.
func (h *history) note(inFlight int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceLocked()
	h.value = inFlight
	at := h.last % bucketCount
	h.peaks[at] = max(h.peaks[at], inFlight)
	h.lows[at] = min(h.lows[at], inFlight)
}

// advanceLocked fills the buckets since the last note with the latest count.
// The caller holds h.mu.
func (h *history) advanceLocked() {
	current := int64(h.now().Sub(h.start) / bucketWidth)
	from := max(h.last+1, current-bucketCount+1)
	for i := from; i <= current; i++ {
		h.peaks[i%bucketCount] = h.value
		h.lows[i%bucketCount] = h.value
	}
	h.last = max(h.last, current)
}

// peakSince returns the highest count from age ago until now.
func (h *history) peakSince(age time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceLocked()
	buckets := min(int64(age/bucketWidth)+2, bucketCount, h.last+1)
	peak := 0
	for i := h.last - buckets + 1; i <= h.last; i++ {
		peak = max(peak, h.peaks[i%bucketCount])
	}
	return peak
}

// lowAt returns the lowest count about a time; zero when it is too long ago.
func (h *history) lowAt(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceLocked()
	at := int64(t.Sub(h.start) / bucketWidth)
	if at < 1 || at > h.last || at-1 <= h.last-bucketCount {
		return 0
	}
	return min(h.lows[at%bucketCount], h.lows[(at-1)%bucketCount])
}
