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
	"cassialatch.dev/fleet/prefixindex"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/chat"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
)

// bytesPerToken is the assumed mean number of bytes in a token. It is used to
// estimate the length of a prompt in tokens from the size of the body.
const bytesPerToken = 4

// defaultMaxTokens is the assumed output length, in tokens, of a request
// without max_tokens.
const defaultMaxTokens = 256

// strippedHeaders are not forwarded to backend servers.
var strippedHeaders = []string{
	outcome.HeaderWorkspace, outcome.HeaderChat, outcome.HeaderTicket,
	outcome.HeaderClass, outcome.HeaderDeadline, "Content-Length", "Accept-Encoding",
}

// handleChat serves one turn of a chat.
func (s *Server) handleChat(c *call) error {
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
	deadline := effectiveDeadline(c.r, model.Deadline, c.workspace.Deadline)
	prefixes := prefixindex.Prefixes(req.Model, req.Messages)
	placeReq := s.placementRequest(c, req, prefixes, len(body)/bytesPerToken)
	c.sink.onHead = func(head forward.ResponseHead) { s.issueChatToken(c, req, head, placeReq, prefixes) }

	return s.opts.Router.Route(c.r.Context(), router.Request{
		Start:     s.newChatStart(c, req, deadline, placeReq.PromptTokens),
		Body:      body,
		Placement: placeReq,

		Stream: req.Stream,
	}, c.sink)
}

// newChatStart returns the message that forwards a chat request to the home of
// its backend server.
func (s *Server) newChatStart(c *call, req *engineapi.ChatRequest, deadline time.Duration, promptTokens int) *peerpb.ForwardStart {
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
		Headers:     forward.EncodeHeader(header, strippedHeaders...),
		Idempotent:  true,
		Cost:        estimateCost(promptTokens, req.MaxTokens),
		Fingerprint: quarantine.Fingerprint(req.Model, req.Messages),
		Priority:    int32(c.workspace.Priority),
		Weight:      uint32(c.workspace.Weight),
	}
}

// estimateCost returns the cost of a request in tokens: its prompt and its
// maximum output. The result saturates at math.MaxUint32.
func estimateCost(promptTokens, maxTokens int) uint32 {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	maxTokens = min(maxTokens, math.MaxUint32)
	return uint32(min(promptTokens+maxTokens, math.MaxUint32))
}

// classPriority is the distance between the engine priorities of two classes. A
// workspace's own priority is capped below it, so that it only orders requests
// within a class.
const classPriority = 1000

// enginePriority returns the priority that is sent to the model engine: higher
// for more urgent classes, then by the workspace's priority.
func enginePriority(c *call) int {
	for i, class := range classes {
		if class == c.class {
			return (len(classes)-1-i)*classPriority + min(c.workspace.Priority, classPriority-1)
		}
	}
	return 0
}

// placementRequest returns the planner's input for a chat request. The backend
// server with the chat's prefix in its cache is taken from a valid chat token
// of the same model and workspace, otherwise from the prefix index.
func (s *Server) placementRequest(c *call, req *engineapi.ChatRequest, prefixes []uint64, promptTokens int) placement.Request {
	placeReq := placement.Request{
		ChatKey:      chatKey(c, prefixes),
		PromptTokens: promptTokens,
		Class:        c.class,
	}
	token, err := chat.Open(s.opts.Ring, c.r.Header.Get(outcome.HeaderChat))
	if err == nil && token.Model == req.Model && token.Workspace == c.workspace.Name {
		placeReq.WarmBackend = token.Backend
		placeReq.WarmTokens = token.Tokens
		return placeReq
	}
	backend, depth := s.opts.Index.Lookup(prefixes)
	if backend != "" {
		placeReq.IndexedBackend = backend
		placeReq.IndexedTokens = promptTokens * depth / len(prefixes)
	}
	return placeReq
}

// chatKeyTurns is the number of messages that identify a chat: the system prompt
// and the first message of the user.
const chatKeyTurns = 2

// chatKey returns the key of a chat for rendezvous hashing. It is derived from
// the first messages, so it is the same in each turn.
func chatKey(c *call, prefixes []uint64) string {
	opening := prefixes[min(len(prefixes), chatKeyTurns)-1]
	return c.workspace.Name + "/" + strconv.FormatUint(opening, 16)
}

// issueChatToken adds a chat token to the response. The token names the backend
// server that now has the chat's prefix in its cache.
func (s *Server) issueChatToken(c *call, req *engineapi.ChatRequest, head forward.ResponseHead, placeReq placement.Request, prefixes []uint64) {
	if head.Status != http.StatusOK {
		return
	}
	s.opts.Index.Add(prefixes[len(prefixes)-1], head.Backend)
	token := chat.Issue(s.opts.Ring, chat.Token{
		Model:     req.Model,
		Backend:   head.Backend,
		Tokens:    placeReq.PromptTokens,
		Issued:    s.opts.Now(),
		Workspace: c.workspace.Name,
		Prefix:    prefixes[0],
	})
	c.w.Header().Set(outcome.HeaderChat, token)
}

// parseChat decodes a chat request. Unknown fields are ignored, since only the
// model engine interprets them.
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

// readBody reads the whole request body, subject to the limits on its size and
// on the time to read it.
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
