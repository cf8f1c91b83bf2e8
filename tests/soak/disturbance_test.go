package soak

import (
	"sync"
	"time"
)

// disturbances records when daemons and backend servers could not work because of
// an injected fault. It is safe for concurrent use.
type disturbances struct {
	mu      sync.Mutex
	periods map[string][]*period // by a daemon's IP address or a server's ID
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
