package engine

import (
	"math"
	"time"

	"cassialatch.dev/wire/engineapi"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxEvents     = 1 << 16 // events retained for readers
	eventPageSize = 1024
)

// cachedPrefix is one cached prefix. It can be used only while all of its parents
// are cached as well.
type cachedPrefix struct {
	Prefix uint64 `json:"prefix"`
	Parent uint64 `json:"parent"` // 0: no parent
	Tokens int    `json:"tokens"` // of the last message only
}

// loggedEvent is a cache event with its time.
type loggedEvent struct {
	engineapi.CacheEvent
	at time.Time
}

// prefixCache is an LRU cache of message prefixes, bounded by their number of
// tokens. The engine's mutex guards it.
type prefixCache struct {
	limit     int // in tokens
	tokens    int // currently cached
	lru       *simplelru.LRU[uint64, cachedPrefix]
	seq       uint64
	dropEvery uint64 // drop every dropEvery-th event; 0: drop none
	events    []loggedEvent
}

func newPrefixCache(limit int, dropEvery uint64) *prefixCache {
	c := &prefixCache{limit: limit, dropEvery: dropEvery}
	// NewLRU fails only for a size below 1. The token limit bounds the cache.
	c.lru, _ = simplelru.NewLRU(math.MaxInt, c.onEvict)
	return c
}

func (c *prefixCache) onEvict(prefix uint64, p cachedPrefix) {
	c.tokens -= p.Tokens
	c.logEvent(engineapi.CacheEvicted, prefix)
}

func (c *prefixCache) logEvent(kind engineapi.CacheEventKind, prefix uint64) {
	c.seq++
	if c.dropEvery > 0 && c.seq%c.dropEvery == 0 {
		return
	}
	event := engineapi.CacheEvent{Seq: c.seq, Kind: kind, Prefix: prefix}
	c.events = append(c.events, loggedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// lookup returns the number of prompt tokens that are cached.
func (c *prefixCache) lookup(messages []engineapi.Message) int {
	tokens := 0
	for _, prefix := range PrefixHashes(messages) {
		cached, ok := c.lru.Get(prefix)
		if !ok {
			break
		}
		tokens += cached.Tokens
	}
	return tokens
}

// store adds each prefix of messages to the cache.
func (c *prefixCache) store(messages []engineapi.Message) {
	var parent uint64
	chain := make([]cachedPrefix, len(messages))
	for i, prefix := range PrefixHashes(messages) {
		chain[i] = cachedPrefix{Prefix: prefix, Parent: parent, Tokens: CountTokens(messages[i].Content)}
		parent = prefix
	}
	c.add(chain)
}

// add caches a chain of prefixes, ordered parents first. Parents become the most
// recently used, so they are evicted last.
func (c *prefixCache) add(chain []cachedPrefix) {
	for i := len(chain) - 1; i >= 0; i-- {
		p := chain[i]
		if _, ok := c.lru.Get(p.Prefix); ok {
			continue
		}
		c.lru.Add(p.Prefix, p)
		c.tokens += p.Tokens
		c.logEvent(engineapi.CacheStored, p.Prefix)
	}
	for c.tokens > c.limit && c.lru.Len() > 0 {
		c.lru.RemoveOldest()
	}
}

// export returns the given prefixes and their parents, parents first.
func (c *prefixCache) export(prefixes []uint64) []cachedPrefix {
	var out []cachedPrefix
	seen := make(map[uint64]bool)
	for _, prefix := range prefixes {
		var chain []cachedPrefix
		for prefix != 0 && !seen[prefix] {
			p, ok := c.lru.Get(prefix)
			if !ok {
				break
			}
			seen[prefix] = true
			chain = append([]cachedPrefix{p}, chain...)
			prefix = p.Parent
		}
		out = append(out, chain...)
	}
	return out
}

// eventsAfter returns one page of the events with a sequence number above seq and
// a time not after before.
func (c *prefixCache) eventsAfter(seq uint64, before time.Time) engineapi.CacheEvents {
	page := engineapi.CacheEvents{Events: []engineapi.CacheEvent{}, Last: seq}
	for _, e := range c.events {
		if e.Seq <= seq || e.at.After(before) {
			continue
		}
		page.Events = append(page.Events, e.CacheEvent)
		page.Last = e.Seq
		if len(page.Events) == eventPageSize {
			break
		}
	}
	return page
}
