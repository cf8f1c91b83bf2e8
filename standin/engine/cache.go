package engine

import (
	"math"
	"time"

	"cassialatch.dev/wire/engineapi"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxEvents     = 1 << 16 // kept for readers
	eventPageSize = 1024
)

// cachedPrefix is one cached prefix; it is of use only while its parents are
// cached too.
type cachedPrefix struct {
	Prefix uint64 `json:"prefix"`
	Parent uint64 `json:"parent"` // 0: none
	Tokens int    `json:"tokens"` // of the last message alone
}

// loggedEvent is a cache event and when it happened.
type loggedEvent struct {
	engineapi.CacheEvent
	at time.Time
}

// prefixCache is a least-recently-used cache of message prefixes, bounded by
// tokens. It is guarded by the engine's mutex.
type prefixCache struct {
	limit  int
	tokens int
	lru    *simplelru.LRU[uint64, cachedPrefix]
	seq    uint64
	gap    uint64 // each gap-th event is lost; 0: none
	events []loggedEvent
}

func newPrefixCache(limit int, gap uint64) *prefixCache {
	c := &prefixCache{limit: limit, gap: gap}
	// Only a size below one is an error; tokens bound the cache.
	c.lru, _ = simplelru.NewLRU(math.MaxInt, c.evicted)
	return c
}

func (c *prefixCache) evicted(prefix uint64, p cachedPrefix) {
	c.tokens -= p.Tokens
	c.log(engineapi.CacheEvicted, prefix)
}

func (c *prefixCache) log(kind engineapi.CacheEventKind, prefix uint64) {
	c.seq++
	if c.gap > 0 && c.seq%c.gap == 0 {
		return
	}
	event := engineapi.CacheEvent{Seq: c.seq, Kind: kind, Prefix: prefix}
	c.events = append(c.events, loggedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// lookup returns how many tokens of the prompt are cached.
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

// store caches each prefix of the messages.
func (c *prefixCache) store(messages []engineapi.Message) {
	var parent uint64
	chain := make([]cachedPrefix, len(messages))
	for i, prefix := range PrefixHashes(messages) {
		chain[i] = cachedPrefix{Prefix: prefix, Parent: parent, Tokens: CountTokens(messages[i].Content)}
		parent = prefix
	}
	c.add(chain)
}

// add caches a chain, parents first in the slice and most recent in use.
func (c *prefixCache) add(chain []cachedPrefix) {
	for i := len(chain) - 1; i >= 0; i-- {
		p := chain[i]
		if _, ok := c.lru.Get(p.Prefix); ok {
			continue
		}
		c.lru.Add(p.Prefix, p)
		c.tokens += p.Tokens
		c.log(engineapi.CacheStored, p.Prefix)
	}
	for c.tokens > c.limit && c.lru.Len() > 0 {
		c.lru.RemoveOldest()
	}
}

// export returns the named prefixes with their parents, parents first.
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

// eventsAfter returns one page of the events after seq that happened before
// the given moment.
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
