// Package engineapi is the published HTTP protocol of model engines.
//
//	POST /v1/chat/completions     ChatRequest -> server-sent events or ChatResponse
//	GET  /v1/streams/{id}?from=N  resumes a stream at event N
//	GET  /v1/load                 LoadReport, late by the engine's report lag
//	GET  /v1/cache-events?after=N CacheEvents, late and with gaps
//	POST /v1/cache/export         CacheSelector -> opaque bytes
//	POST /v1/cache/import         opaque bytes
//	POST /v1/orders               Order; 409 when the fence is old (checking engines)
//
// A stream is a sequence of "data: {StreamEvent}" events and ends with
// "data: [DONE]"; anything else is a truncated answer. Closing the connection
// cancels the work.
//
// Cache events and selectors name a prefix by xxhash64 over the role, 0x1f, the
// content and 0x1e of each of its messages. The model is no part of it. The
// numbers of events start anew with each process instance.
package engineapi

// Request headers that engines honour.
const (
	HeaderPriority  = "X-Priority"   // integer, higher runs first
	HeaderRequestID = "X-Request-Id" // echoed in the response
	HeaderInstance  = "X-Instance"   // response: the engine's process instance
	HeaderFence     = "X-Fence"      // plain services: fencing number, when checked
)

// StreamDone is the data of the event that ends a whole stream.
const StreamDone = "[DONE]"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest asks for a completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Choice is one candidate answer; in a stream Delta is set, else Message.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"` // prompt tokens found in the prefix cache
}

// StreamEvent is one event of a streamed answer.
type StreamEvent struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Seq     int      `json:"seq"` // from 0
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"` // last event before the end
}

// ChatResponse is a whole answer that is not streamed.
type ChatResponse struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// LoadReport is an engine's account of itself, some time ago.
type LoadReport struct {
	Instance     string `json:"instance"` // changes when the engine restarts
	AgeMs        int64  `json:"age_ms"`   // how old the figures are
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	CachedTokens int    `json:"cached_tokens"`
	Leaving      bool   `json:"leaving"`
}

// CacheEventKind tells whether a prefix came or went.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent tells that the prefix with the given hash came or went.
type CacheEvent struct {
	Seq    uint64         `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Prefix uint64         `json:"prefix"` // xxhash64 of the canonical messages prefix
}

// CacheEvents is a page of events; a jump in Seq is a gap.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
}

// CacheSelector names prefixes to export.
type CacheSelector struct {
	Prefixes []uint64 `json:"prefixes"`
}

// Order tells an engine to change.
type Order struct {
	Kind  string `json:"kind"` // "load_model", "load_adapter" or "set_role"
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}
