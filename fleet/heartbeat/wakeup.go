package heartbeat

import "sync"

// wakeup wakes all goroutines that wait for it.
type wakeup struct {
	mu sync.Mutex
	ch chan struct{} // closed and replaced at each wake
}

// newWakeup returns a wakeup.
func newWakeup() wakeup { return wakeup{ch: make(chan struct{})} }

// next returns a channel that is closed at the next wake.
func (w *wakeup) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ch
}

// fire wakes all.
func (w *wakeup) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ch)
	w.ch = make(chan struct{})
}
