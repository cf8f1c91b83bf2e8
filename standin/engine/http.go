package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassialatch.dev/standin/internal/respond"
	"cassialatch.dev/wire/engineapi"
)

const maxRequestBytes = 16 << 20

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/chat/completions", e.postChat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.getStream)
	e.mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { respond.JSON(w, e.Load()) })
	e.mux.HandleFunc("GET /v1/cache-events", e.getCacheEvents)
	e.mux.HandleFunc("POST /v1/cache/export", e.postExport)
	e.mux.HandleFunc("POST /v1/cache/import", e.postImport)
	e.mux.HandleFunc("POST /v1/orders", e.postOrder)
	e.mux.HandleFunc("POST /control/slow", func(w http.ResponseWriter, r *http.Request) {
		if factor, ok := respond.ParseFactor(w, r); ok {
			e.SetSlowdown(factor)
		}
	})
	e.mux.HandleFunc("POST /control/leaving", func(w http.ResponseWriter, r *http.Request) {
		if on, ok := respond.ParseSwitch(w, r); ok {
			e.SetLeaving(on)
		}
	})
	e.mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) { respond.JSON(w, e.Stats()) })
}

func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	var req engineapi.ChatRequest
	if !respond.DecodeJSON(w, r, maxRequestBytes, &req) {
		return
	}
	priority, err := parsePriority(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	requestID := r.Header.Get(engineapi.HeaderRequestID)
	if requestID != "" {
		w.Header().Set(engineapi.HeaderRequestID, requestID)
	}
	j := e.start(req, requestID, priority)
	if req.Stream {
		e.writeStream(w, r, j.stream, 0)
		return
	}
	e.writeComplete(w, r, j)
}

func parsePriority(r *http.Request) (int, error) {
	text := r.Header.Get(engineapi.HeaderPriority)
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	from := 0
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			http.Error(w, "from must be an event number", http.StatusBadRequest)
			return
		}
		from = n
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.NotFound(w, r)
		return
	}
	e.writeStream(w, r, s, from)
}

// writeStream sends the events of s from position from on. If the stream ends
// early, it aborts the connection.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	err := e.readStream(r, s, from, func(event engineapi.StreamEvent) error {
		body, err := json.Marshal(event)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if err != nil {
		respond.Abort()
	}
	fmt.Fprintf(w, "data: %s\n\n", engineapi.StreamDone)
}

func (e *Engine) writeComplete(w http.ResponseWriter, r *http.Request, j *job) {
	var content strings.Builder
	response := engineapi.ChatResponse{ID: j.id, Model: j.request.Model}
	err := e.readStream(r, j.stream, 0, func(event engineapi.StreamEvent) error {
		content.WriteString(event.Choices[0].Delta.Content)
		if event.Usage != nil {
			response.Usage = *event.Usage
		}
		return nil
	})
	if err != nil {
		respond.Abort()
	}
	message := engineapi.Message{Role: roleAssistant, Content: content.String()}
	response.Choices = []engineapi.Choice{{Message: &message, FinishReason: finishStop}}
	respond.JSON(w, response)
}

// readStream follows s on behalf of a connection. The request is canceled once it
// has had no reader for Config.ResumeGrace.
func (e *Engine) readStream(r *http.Request, s *stream, from int, emit func(engineapi.StreamEvent) error) error {
	s.attach()
	err := s.follow(r.Context(), from, emit)
	s.detach()
	if err == nil {
		return nil
	}
	if e.config.ResumeGrace <= 0 {
		s.cancelIfUnread()
	} else {
		time.AfterFunc(e.config.ResumeGrace, s.cancelIfUnread)
	}
	return err
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		after = n
	}
	e.mu.Lock()
	page := e.cache.eventsAfter(after, time.Now().Add(-e.config.EventLag))
	e.mu.Unlock()
	respond.JSON(w, page)
}

func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	var selector engineapi.CacheSelector
	if !respond.DecodeJSON(w, r, maxRequestBytes, &selector) {
		return
	}
	e.mu.Lock()
	prefixes := e.cache.export(selector.Prefixes)
	e.mu.Unlock()
	respond.JSON(w, prefixes)
}

func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	var prefixes []cachedPrefix
	if !respond.DecodeJSON(w, r, maxRequestBytes, &prefixes) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(prefixes)
	e.currentLoad.CachedTokens = e.cache.tokens
	e.addSample()
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !respond.DecodeJSON(w, r, maxRequestBytes, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.fence
	if stale && e.config.CheckFence {
		e.stats.Refused++
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if stale {
		e.stats.StaleOrders++
	}
	e.fence = max(e.fence, order.Fence)
	e.stats.Orders++
}
