// Package engineapi defines the HTTP protocol that model engines publish: its
// paths, headers and JSON bodies.
//
//	POST /v1/chat/completions     ChatRequest -> server-sent events or ChatResponse
//	GET  /v1/streams/{id}?from=N  resumes a stream from event N
//	GET  /v1/load                 LoadReport, older by the engine's report lag
//	GET  /v1/cache-events?after=N CacheEvents after number N, delayed and with gaps
//	POST /v1/cache/export         CacheSelector -> opaque bytes
//	POST /v1/cache/import         opaque bytes
//	POST /v1/orders               Order; 409 if the engine checks fences and the fence is stale
//
// A stream is a sequence of "data: {StreamEvent}" events that ends with
// "data: [DONE]". A stream that ends in any other way is a truncated response.
// Closing the connection cancels the request.
//
// Cache events and selectors identify a prefix by the xxhash64 of its messages,
// where each message contributes its role, 0x1f, its content and 0x1e. The model
// is not part of the hash. The numbering of cache events restarts with each
// process instance of the engine.
package engineapi

// Headers of requests to engines and plain services and of their responses.
const (
	HeaderPriority  = "X-Priority"   // request: integer; higher values run first
	HeaderRequestID = "X-Request-Id" // request; echoed in the response
	HeaderInstance  = "X-Instance"   // response: the engine's process instance
	HeaderFence     = "X-Fence"      // request to a plain service: fencing number, if the service checks it
)

// StreamDone is the data of the event that ends a complete stream.
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

// Choice is one generated completion. Delta is set in a stream, Message
// otherwise.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"` // prompt tokens found in the prefix cache
}

// StreamEvent is one event of a streamed response.
type StreamEvent struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Seq     int      `json:"seq"` // starts at 0
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"` // only in the last event before StreamDone
}

// ChatResponse is the response to a ChatRequest that does not ask for a stream.
type ChatResponse struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// LoadReport is the load that an engine measured AgeMs milliseconds ago.
type LoadReport struct {
	Instance     string `json:"instance"` // changes when the engine restarts
	AgeMs        int64  `json:"age_ms"`   // age of the figures in milliseconds
	Running      int    `json:"running"`  // requests in execution
	Waiting      int    `json:"waiting"`  // requests in the engine's queue
	CachedTokens int    `json:"cached_tokens"`
	Leaving      bool   `json:"leaving"` // the engine is about to stop
}

// CacheEventKind is the kind of a cache event.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports that the prefix with the given hash was stored or evicted.
type CacheEvent struct {
	Seq    uint64         `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Prefix uint64         `json:"prefix"` // xxhash64 of the prefix, see the package comment
}

// CacheEvents is a page of events. A jump in Seq means that events are missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"` // last number in the page; the next call passes it as "after"
}

// CacheSelector lists the prefixes to export.
type CacheSelector struct {
	Prefixes []uint64 `json:"prefixes"`
}

// Order instructs an engine to load a model or an adapter or to change its role.
type Order struct {
	Kind  string `json:"kind"` // "load_model", "load_adapter" or "set_role"
	Name  string `json:"name"`
	Fence uint64 `json:"fence"` // fencing number; lower than a previous one means stale
}
