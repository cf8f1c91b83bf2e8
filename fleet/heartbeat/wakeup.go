package heartbeat

import "sync"

// wakeup is an event that wakes all goroutines waiting for it. It is safe for
// concurrent use.
type wakeup struct {
	mu sync.Mutex
	ch chan struct{} // closed and replaced by fire
}

// newWakeup returns a wakeup that has not fired.
func newWakeup() wakeup { return wakeup{ch: make(chan struct{})} }

// next returns a channel that is closed by the next call of fire.
func (w *wakeup) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ch
}

// fire wakes all waiting goroutines.
func (w *wakeup) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ch)
	w.ch = make(chan struct{})
}
