package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/fleet/pause"
	"cassialatch.dev/wire/platformapi"
)

// Pauses between reads.
const (
	retryPause     = 500 * time.Millisecond // after a failed read, with jitter
	idlePause      = 100 * time.Millisecond // between two watches
	followerFactor = 3                      // a follower polls once in this many waits
)

// Sink takes what the Watcher reads.
type Sink interface {
	// OfferDocument takes a document and returns the highest version held.
	OfferDocument(doc *platformapi.Document) uint64
	// OfferVMList takes the VM list and returns the highest version held.
	OfferVMList(list *platformapi.VMList) uint64
	// IsWatcher reports whether this daemon is one of the few that hold a
	// waiting watch; the others poll rarely and hear from their peers.
	IsWatcher() bool
}

// Health tells how the platform answers.
type Health struct {
	Reachable   bool
	LastRead    time.Time // zero: never
	LastFailure error
}

// Watcher keeps a Sink up to date, with one goroutine for each resource.
type Watcher struct {
	client *Client
	sink   Sink
	names  []string // of documents

	mu     sync.Mutex
	health Health
}

// NewWatcher returns a Watcher of the named documents and of the VM list.
func NewWatcher(client *Client, sink Sink, names []string) *Watcher {
	return &Watcher{client: client, sink: sink, names: names}
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range w.names {
		wg.Go(func() { w.follow(ctx, func(after uint64) (uint64, error) { return w.document(ctx, name, after) }) })
	}
	wg.Go(func() { w.follow(ctx, func(after uint64) (uint64, error) { return w.vms(ctx, after) }) })
	wg.Wait()
}

// Health returns how the platform answered last.
func (w *Watcher) Health() Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.health
}

// follow reads one resource again and again.
func (w *Watcher) follow(ctx context.Context, read func(after uint64) (uint64, error)) {
	var held uint64
	for ctx.Err() == nil {
		version, err := read(held)
		held = max(held, version)
		pause.For(ctx, w.pause(err))
	}
}

// pause notes the result of a read and returns how long to wait after it.
func (w *Watcher) pause(err error) time.Duration {
	answered := err == nil || errors.Is(err, ErrNotModified) || errors.Is(err, ErrNotFound)
	w.mu.Lock()
	w.health.Reachable = answered
	if answered {
		w.health.LastRead = time.Now()
	} else {
		w.health.LastFailure = err
	}
	w.mu.Unlock()

	switch {
	case !answered || errors.Is(err, ErrNotFound):
		return retryPause/2 + rand.N(retryPause)
	case !w.sink.IsWatcher():
		return followerFactor * w.client.opts.WatchWait
	default:
		return idlePause
	}
}

// document reads one document: at once the first time and as a follower, else
// by a watch.
func (w *Watcher) document(ctx context.Context, name string, after uint64) (uint64, error) {
	var doc *platformapi.Document
	var err error
	if after == 0 || !w.sink.IsWatcher() {
		doc, err = w.client.Document(ctx, name)
	} else {
		doc, err = w.client.WatchDocument(ctx, name, after)
	}
	if err != nil {
		return 0, err
	}
	return w.sink.OfferDocument(doc), nil
}

// vms reads the VM list like a document.
func (w *Watcher) vms(ctx context.Context, after uint64) (uint64, error) {
	var list *platformapi.VMList
	var err error
	if after == 0 || !w.sink.IsWatcher() {
		list, err = w.client.VMs(ctx)
	} else {
		list, err = w.client.WatchVMs(ctx, after)
	}
	if err != nil {
		return 0, err
	}
	return w.sink.OfferVMList(list), nil
}
