package soak

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// disturbances records when daemons and backend servers could not work because of
// an injected fault, and when daemons were stopped. It is safe for concurrent use.
type disturbances struct {
	mu      sync.Mutex
	periods map[string][]*period   // by a daemon's IP address or a server's ID
	stops   map[string][]time.Time // of SIGTERM, by a daemon's IP address
}

// period is the duration of a fault. Its end is zero while the fault lasts.
type period struct{ start, end time.Time }

// begin records that a fault starts now and returns the function to call at its
// end.
func (d *disturbances) begin(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &period{start: time.Now()}
	if d.periods == nil {
		d.periods = make(map[string][]*period)
	}
	d.periods[name] = append(d.periods[name], p)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		p.end = time.Now()
	}
}

// overlap reports whether a fault lasted at some moment between two times.
func (d *disturbances) overlap(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.periods[name] {
		if p.start.Before(to) && (p.end.IsZero() || p.end.After(from)) {
			return true
		}
	}
	return false
}

// maxRestart is the time after SIGTERM within which a daemon has started again.
const maxRestart = 10 * time.Second

// disturbed reports whether a daemon may have started, or a fault of it lasted, at some
// moment between two times.
func (d *disturbances) disturbed(ip string, from, to time.Time) bool {
	if d.overlap(ip, from, to) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.stops[ip], func(at time.Time) bool { return at.After(from.Add(-maxRestart)) && at.Before(to) })
}

// recordStop records that a daemon is sent SIGTERM now.
func (d *disturbances) recordStop(ip string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stops == nil {
		d.stops = make(map[string][]time.Time)
	}
	d.stops[ip] = append(d.stops[ip], time.Now())
}

// maxDrainedSend is how long after SIGTERM a stream that the drain may break off was
// sent at the latest.
const maxDrainedSend = 3 * time.Second

// drainEnded reports whether the daemon was in the last sixth of its grace period
// when a response ended, so that a stream may have been broken off whose request was
// sent at most maxDrainedSend after SIGTERM.
func (d *disturbances) drainEnded(ip string, grace time.Duration, sent, ended time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stop := range d.stops[ip] {
		sinceStop := ended.Sub(stop)
		if sent.Sub(stop) <= maxDrainedSend && sinceStop >= grace*5/6 && sinceStop < grace+killSettleTime {
			return true
		}
	}
	return false
}

// Guards against the report of a stream as lost that the end of a drain may break
// off, and against an excuse for any other.
func TestDrainEnded(t *testing.T) {
	is := is.New(t)
	var d disturbances
	d.recordStop("ip")
	stop := d.stops["ip"][0]
	const grace = 6 * time.Second
	ended := func(sent, end time.Duration) bool {
		return d.drainEnded("ip", grace, stop.Add(sent), stop.Add(end))
	}
	is.True(ended(-time.Second, 5*time.Second))
	is.True(ended(3*time.Second, 6*time.Second))
	is.True(!ended(-time.Second, 4900*time.Millisecond))  // the drain must not be over yet
	is.True(!ended(3100*time.Millisecond, 5*time.Second)) // must not have been admitted
	is.True(!ended(-time.Second, grace+killSettleTime))   // after the process has ended
	is.True(!d.drainEnded("other", grace, stop, stop.Add(5*time.Second)))
}
