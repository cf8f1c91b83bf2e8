package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cassialatch.dev/fleet/placement"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// server is a fake backend server with the queue of its home.
type server struct {
	name     string
	inFlight int
	waiting  []*turn
	cache    *simplelru.LRU[int, int] // chat to cached tokens
	cached   int
}

func newServer(name string) *server {
	s := &server{name: name}
	s.replace()
	return s
}

// replace empties the cache, as when a VM is replaced.
func (s *server) replace() {
	s.cached = 0
	s.cache, _ = simplelru.NewLRU(1<<20, func(_, tokens int) { s.cached -= tokens })
}

// use returns how much of a prompt is cached, and caches all of it.
func (s *server) use(chat, prompt int) (hit int) {
	hit, _ = s.cache.Get(chat)
	s.cache.Remove(chat)
	s.cache.Add(chat, prompt)
	for s.cached += prompt; s.cached > cacheTokens; {
		s.cache.RemoveOldest()
	}
	return min(hit, prompt)
}

func (s *server) load() int { return s.inFlight + len(s.waiting) }

// turn is one request of a chat.
type turn struct {
	chat     int
	prompt   int
	arrived  time.Duration
	excluded map[string]bool
	tries    int
}

// chat is a conversation; its caller carries the token.
type chat struct {
	id     int // changes when a new chat takes the place
	prompt int
	warm   string
	tokens int
}

// next returns the next turn of the chat, or the first of a new one.
func (c *chat) next(slot int, now time.Duration) *turn {
	c.prompt += turnTokens
	if c.prompt > maxPrompt {
		*c = chat{id: c.id + chats, prompt: firstPrompt}
	}
	if c.prompt == turnTokens {
		*c = chat{id: slot, prompt: firstPrompt + rand.IntN(maxPrompt-firstPrompt)}
	}
	return &turn{chat: slot, prompt: c.prompt, arrived: now, excluded: map[string]bool{}}
}

func (c *chat) request(t *turn, withKey, withToken bool) placement.Request {
	r := placement.Request{
		PromptTokens: t.prompt,
		Excluded:     func(backend string) bool { return t.excluded[backend] },
	}
	if withKey {
		r.ChatKey = fmt.Sprint(c.id)
	}
	if withToken {
		r.WarmBackend, r.WarmTokens = c.warm, c.tokens
	}
	return r
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

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

func (e *events) add(at time.Duration, do func()) { heap.Push(e, event{at, do}) }
