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

// Delays between reads of one resource.
const (
	retryDelay = 500 * time.Millisecond // mean delay after a failed read; jitter is +/- 50 %
	watchDelay = 100 * time.Millisecond // after a watch
	pollFactor = 3                      // delay of a daemon that only polls, in units of Options.WatchWait
)

// Sink receives what a Watcher reads. Its methods must be safe for concurrent use.
type Sink interface {
	// OfferDocument receives a document and returns the highest version held.
	OfferDocument(doc *platformapi.Document) uint64
	// OfferVMList receives the VM list and returns the highest version held.
	OfferVMList(list *platformapi.VMList) uint64
	// IsWatcher reports whether this daemon is one of the few that watch the
	// platform by long polls. The others poll rarely and rely on the documents
	// that their peers advertise.
	IsWatcher() bool
}

// Health describes the latest reads from the platform.
type Health struct {
	Reachable   bool      // whether the latest read got a valid response
	LastRead    time.Time // time of the last successful read; zero if there was none
	LastFailure error     // of the last failed read; nil if there was none
}

// Watcher keeps a Sink up to date, with one goroutine per resource. It is safe for
// concurrent use.
type Watcher struct {
	client *Client
	sink   Sink
	names  []string // of the documents to read

	mu     sync.Mutex
	health Health
}

// NewWatcher returns a Watcher that reads the named documents and the VM list
// with client and passes them to sink.
func NewWatcher(client *Client, sink Sink, names []string) *Watcher {
	return &Watcher{client: client, sink: sink, names: names}
}

// Run reads the resources repeatedly until ctx is done. It returns after all its
// goroutines have ended.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range w.names {
		wg.Go(func() { w.poll(ctx, func(after uint64) (uint64, error) { return w.readDocument(ctx, name, after) }) })
	}
	wg.Go(func() { w.poll(ctx, func(after uint64) (uint64, error) { return w.readVMList(ctx, after) }) })
	wg.Wait()
}

// Health returns the result of the latest reads.
func (w *Watcher) Health() Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.health
}

// poll reads one resource repeatedly until ctx is done. It passes the highest
// version held to read.
func (w *Watcher) poll(ctx context.Context, read func(after uint64) (uint64, error)) {
	var held uint64
	for ctx.Err() == nil {
		version, err := read(held)
		held = max(held, version)
		pause.For(ctx, w.recordResult(err))
	}
}

// recordResult updates the health with the result of a read and returns the delay
// before the next read.
func (w *Watcher) recordResult(err error) time.Duration {
	ok := err == nil || errors.Is(err, ErrNotModified) || errors.Is(err, ErrNotFound)
	w.mu.Lock()
	w.health.Reachable = ok
	if ok {
		w.health.LastRead = time.Now()
	} else {
		w.health.LastFailure = err
	}
	w.mu.Unlock()

	switch {
	case !ok || errors.Is(err, ErrNotFound):
		return retryDelay/2 + rand.N(retryDelay)
	case !w.sink.IsWatcher():
		return pollFactor * w.client.opts.WatchWait
	default:
		return watchDelay
	}
}

// readDocument reads one document and offers it to the sink. It uses a watch if
// this daemon is a watcher and the document has been read before, else a plain
// read. It returns the highest version held.
func (w *Watcher) readDocument(ctx context.Context, name string, after uint64) (uint64, error) {
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

// readVMList reads the VM list and offers it to the sink, in the same way as
// readDocument.
func (w *Watcher) readVMList(ctx context.Context, after uint64) (uint64, error) {
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
