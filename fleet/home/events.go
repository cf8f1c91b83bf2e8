package home

import (
	"context"
	"time"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/wire/engineapi"
)

// Reads of cache events.
const (
	eventInterval     = time.Second
	eventRequestBytes = 512 // of a read that finds nothing new
	firstStride       = 256 // events skipped when a read does not reach the newest
)

// CacheObserver hears what model engines cache; see package warm.
type CacheObserver interface {
	Stored(prefix uint64, backend string)
	Evicted(prefix uint64, backend string)
	Gap(backend string)
	Forget(backend string)
}

// cacheEvents follows the cache events of one engine.
type cacheEvents struct {
	backend  string
	observer CacheObserver

	instance string
	after    uint64 // number of the last event taken
	stride   uint64 // events to skip, since the reader is behind
}

// followCache reads cache events until ctx ends.
func (n *runner) followCache(ctx context.Context) {
	events := &cacheEvents{backend: n.vm.ID, observer: n.home.opts.Cache}
	for ctx.Err() == nil {
		if n.home.opts.AllowCacheRead(eventRequestBytes) {
			n.readCache(ctx, events)
		}
		select {
		case <-ctx.Done():
		case <-time.After(eventInterval):
		}
	}
}

// readCache reads and takes one page.
func (n *runner) readCache(ctx context.Context, events *cacheEvents) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	page, err := n.home.opts.Client.CacheEvents(ctx, n.vm.Address, events.after+events.stride)
	if err == nil {
		events.take(page)
	}
}

// take applies a page that was asked for after the present position. A reader
// that is behind skips events, twice as many each time, until it finds none;
// then it goes back by halves.
func (c *cacheEvents) take(page backend.CachePage) {
	if c.restarted(page.Instance) {
		return
	}
	if len(page.Events) == 0 {
		c.stride /= 2
		return
	}
	for _, event := range page.Events {
		c.apply(event)
	}
	switch {
	case page.More:
		c.stride = max(firstStride, 2*c.stride)
	default:
		c.stride = 0
	}
}

// restarted reports whether a page is of another process instance than the
// ones before. Then nothing of the engine's cache is left, and its events are
// read from the first one.
func (c *cacheEvents) restarted(instance string) bool {
	before := c.instance
	c.instance = instance
	if before == "" || before == instance {
		return false
	}
	c.observer.Forget(c.backend)
	c.after, c.stride = 0, 0
	return true
}

// apply tells of one event, and of a gap before it.
func (c *cacheEvents) apply(event engineapi.CacheEvent) {
	if event.Seq != c.after+1 && c.after > 0 {
		c.observer.Gap(c.backend)
	}
	c.after = event.Seq
	switch event.Kind {
	case engineapi.CacheStored:
		c.observer.Stored(event.Prefix, c.backend)
	case engineapi.CacheEvicted:
		c.observer.Evicted(event.Prefix, c.backend)
	}
}
