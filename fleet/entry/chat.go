package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/warm"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/chat"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
)

// bytesPerToken estimates the length of a prompt in tokens.
const bytesPerToken = 4

// defaultMaxTokens is assumed of a request that names no limit.
const defaultMaxTokens = 256

// ownHeaders are not passed on to backend servers.
var ownHeaders = []string{
	outcome.HeaderWorkspace, outcome.HeaderChat, outcome.HeaderTicket,
	outcome.HeaderClass, outcome.HeaderDeadline, "Content-Length", "Accept-Encoding",
}

// chat serves one turn of a chat.
func (s *Server) chat(c *call) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	req, err := parseChat(body)
	if err != nil {
		return err
	}
	model, known := c.config.Models[req.Model]
	if !known || !slices.Contains(c.workspace.Models, req.Model) {
		return outcome.NewNotRun(outcome.CodeUnknownModel, "model is not open to the workspace")
	}
	deadline := deadlineOf(c.r, model.Deadline, c.workspace.Deadline)
	prefixes := warm.Prefixes(req.Model, req.Messages)
	place := s.place(c, req, prefixes, len(body)/bytesPerToken)
	c.sink.onHead = func(head forward.ResponseHead) { s.issueToken(c, req, head, place, prefixes) }

	return s.opts.Router.Route(c.r.Context(), router.Request{
		Start:     s.startChat(c, req, deadline, place.PromptTokens),
		Body:      body,
		Placement: place,

		Stream: req.Stream,
	}, c.sink)
}

// startChat describes a chat request to the home.
func (s *Server) startChat(c *call, req *engineapi.ChatRequest, deadline time.Duration, promptTokens int) *peerpb.ForwardStart {
	header := c.r.Header.Clone()
	header.Set(engineapi.HeaderPriority, strconv.Itoa(enginePriority(c)))
	return &peerpb.ForwardStart{
		RequestId:   c.id,
		Service:     req.Model,
		Workspace:   c.workspace.Name,
		Class:       string(c.class),
		DeadlineMs:  uint32(deadline.Milliseconds()),
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		Headers:     forward.EncodeHeader(header, ownHeaders...),
		Idempotent:  true,
		Cost:        costOf(promptTokens, req.MaxTokens),
		Fingerprint: quarantine.Fingerprint(req.Model, req.Messages),
		Priority:    int32(c.workspace.Priority),
		Weight:      uint32(c.workspace.Weight),
	}
}

// costOf estimates the tokens of a request. A limit that does not fit counts as
// the highest cost.
func costOf(promptTokens, maxTokens int) uint32 {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	maxTokens = min(maxTokens, math.MaxUint32)
	return uint32(min(promptTokens+maxTokens, math.MaxUint32))
}

// classPriority separates the classes in the engine's own order; a workspace's
// priority orders within one.
const classPriority = 1000

// enginePriority returns the priority that the engine is told.
func enginePriority(c *call) int {
	for i, class := range classes {
		if class == c.class {
			return (len(classes)-1-i)*classPriority + min(c.workspace.Priority, classPriority-1)
		}
	}
	return 0
}

// place describes a chat request to the planner.
func (s *Server) place(c *call, req *engineapi.ChatRequest, prefixes []uint64, promptTokens int) placement.Request {
	place := placement.Request{
		ChatKey:      chatKey(c, prefixes),
		PromptTokens: promptTokens,
		Class:        c.class,
	}
	token, err := chat.Open(s.opts.Ring, c.r.Header.Get(outcome.HeaderChat))
	if err == nil && token.Model == req.Model && token.Workspace == c.workspace.Name {
		place.WarmBackend = token.Backend
		place.WarmTokens = token.Tokens
		return place
	}
	backend, depth := s.opts.Index.Lookup(prefixes)
	if backend != "" {
		place.IndexedBackend = backend
		place.IndexedTokens = promptTokens * depth / len(prefixes)
	}
	return place
}

// openingTurns is how many turns identify a chat: its system prompt and the
// first words of its caller.
const openingTurns = 2

// chatKey identifies a chat to the rendezvous order by how it began, which is
// the same at each turn.
func chatKey(c *call, prefixes []uint64) string {
	opening := prefixes[min(len(prefixes), openingTurns)-1]
	return c.workspace.Name + "/" + strconv.FormatUint(opening, 16)
}

// issueToken gives the caller a token that names where the chat is now warm.
func (s *Server) issueToken(c *call, req *engineapi.ChatRequest, head forward.ResponseHead, place placement.Request, prefixes []uint64) {
	if head.Status != http.StatusOK {
		return
	}
	s.opts.Index.Add(prefixes[len(prefixes)-1], head.Backend)
	token := chat.Issue(s.opts.Ring, chat.Token{
		Model:     req.Model,
		Backend:   head.Backend,
		Tokens:    place.PromptTokens,
		Issued:    s.opts.Now(),
		Workspace: c.workspace.Name,
		Prefix:    prefixes[0],
	})
	c.w.Header().Set(outcome.HeaderChat, token)
}

// parseChat reads a chat request. Fields that are not known here are the
// engine's matter.
func parseChat(body []byte) (*engineapi.ChatRequest, error) {
	var req engineapi.ChatRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&req); err != nil {
		return nil, outcome.NewNotRun(outcome.CodeBadRequest, "body is not a chat request").WithCause(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, outcome.NewNotRun(outcome.CodeBadRequest, "body goes on after the chat request")
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return nil, outcome.NewNotRun(outcome.CodeBadRequest, "chat request needs a model and messages")
	}
	return &req, nil
}

// readBody reads a whole body within the limits.
func (s *Server) readBody(c *call) ([]byte, error) {
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(time.Now().Add(s.opts.Limits.BodyTimeout)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, s.opts.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, outcome.NewNotRun(outcome.CodeBodyTooLarge, "body is larger than the limit")
	case err != nil:
		return nil, outcome.NewNotRun(outcome.CodeCallerTimeout, "body did not arrive whole in time").WithCause(err)
	}
	return body, control.SetReadDeadline(time.Time{})
}
