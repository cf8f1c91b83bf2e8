package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cassialatch.dev/fleet/placement"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// server is a simulated backend server, with the queue of its home.
type server struct {
	name         string
	inFlight     int
	waiting      []*turn
	cache        *simplelru.LRU[int, int] // numbers of cached tokens by chat
	cachedTokens int                      // total over all chats
}

func newServer(name string) *server {
	s := &server{name: name}
	s.clearCache()
	return s
}

// clearCache empties the cache, as the replacement of the VM would.
func (s *server) clearCache() {
	s.cachedTokens = 0
	s.cache, _ = simplelru.NewLRU(1<<20, func(_, tokens int) { s.cachedTokens -= tokens })
}

// cachePrompt returns the number of tokens of a prompt that are cached, and adds
// the prompt to the cache.
func (s *server) cachePrompt(chat, promptTokens int) (hitTokens int) {
	hitTokens, _ = s.cache.Get(chat)
	s.cache.Remove(chat)
	s.cache.Add(chat, promptTokens)
	for s.cachedTokens += promptTokens; s.cachedTokens > cacheTokens; {
		s.cache.RemoveOldest()
	}
	return min(hitTokens, promptTokens)
}

func (s *server) load() int { return s.inFlight + len(s.waiting) }

// turn is one request of a chat.
type turn struct {
	chat         int // index of the chat
	promptTokens int
	arrived      time.Duration
	excluded     map[string]bool
	tries        int // attempts to place the turn
}

// chat is a conversation. warmBackend and warmTokens are the contents of its chat
// token.
type chat struct {
	id           int // changes when a new chat replaces this one
	promptTokens int
	warmBackend  string
	warmTokens   int
}

// next returns the next turn of the chat. After the longest prompt it replaces
// the chat with a new one.
func (c *chat) next(index int, now time.Duration) *turn {
	c.promptTokens += turnTokens
	if c.promptTokens > maxPromptTokens {
		*c = chat{id: c.id + chats, promptTokens: firstPromptTokens}
	}
	if c.promptTokens == turnTokens {
		*c = chat{id: index, promptTokens: firstPromptTokens + rand.IntN(maxPromptTokens-firstPromptTokens)}
	}
	return &turn{chat: index, promptTokens: c.promptTokens, arrived: now, excluded: map[string]bool{}}
}

// request returns the placement request of a turn.
func (c *chat) request(t *turn, withChatKey, withChatToken bool) placement.Request {
	r := placement.Request{
		PromptTokens: t.promptTokens,
		Excluded:     func(backend string) bool { return t.excluded[backend] },
	}
	if withChatKey {
		r.ChatKey = fmt.Sprint(c.id)
	}
	if withChatToken {
		r.WarmBackend, r.WarmTokens = c.warmBackend, c.warmTokens
	}
	return r
}

// event is an action scheduled for a simulated time.
type event struct {
	at     time.Duration
	action func()
}

// events is a heap of events, ordered by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (e *events) add(at time.Duration, action func()) { heap.Push(e, event{at, action}) }
