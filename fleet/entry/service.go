package entry

import (
	"net/http"
	"slices"
	"strings"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
)

// handleService serves one call of a plain service.
func (s *Server) handleService(c *call) error {
	name := c.r.PathValue("service")
	service, known := c.config.Services[name]
	if !known || !slices.Contains(c.workspace.Services, name) {
		return outcome.NewNotRun(outcome.CodeUnknownService, "service is not open to the workspace")
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	path := "/" + c.r.PathValue("path")
	rule := matchRule(service, c.r.Method, path)
	if rule.Class != "" {
		c.class = rule.Class
	}
	start := s.newServiceStart(c, service, path, rule)
	if rule.Idempotent {
		return s.routeService(c, start, body, c.id)
	}
	if deduplicates(c, service) {
		// The daemon does not retry the call. The idempotency key routes a
		// retry by the caller to the same backend server while that accepts
		// requests.
		return s.routeService(c, start, body, c.r.Header.Get(outcome.HeaderIdempotencyKey))
	}
	start.Ticket = c.r.Header.Get(outcome.HeaderTicket)
	if start.Ticket == "" && s.opts.Directory.Draining() {
		return errDraining
	}
	if start.Ticket == "" {
		c.w.Header().Set(outcome.HeaderTicket, s.issueTicket())
		return outcome.NewNotRun(outcome.CodeTicketRequired, "call may not be repeated: send it with the ticket of this answer")
	}
	c.submitted = true
	return s.opts.Executor.Submit(c.r.Context(), start, body, c.sink)
}

// deduplicates reports whether the service's backend servers refuse to run the
// call twice, by its idempotency key.
func deduplicates(c *call, service *dynamic.Service) bool {
	return service.ChecksKey && c.r.Header.Get(outcome.HeaderIdempotencyKey) != ""
}

// mayBeDeduplicated reports whether the call has a key by which backend servers may
// deduplicate it. A service that is not in the configuration may check keys. Calls
// that may be repeated are left out: their outcome is that of one copy.
func mayBeDeduplicated(c *call) bool {
	name := c.r.PathValue("service")
	if name == "" || c.r.Header.Get(outcome.HeaderIdempotencyKey) == "" {
		return false
	}
	if c.config == nil {
		return true
	}
	service, known := c.config.Services[name]
	if !known {
		return true
	}
	path := "/" + c.r.PathValue("path")
	return deduplicates(c, service) && !matchRule(service, c.r.Method, path).Idempotent
}

// routeService routes a call that needs no ticket. Calls with the same key go to
// the same backend server if possible.
func (s *Server) routeService(c *call, start *peerpb.ForwardStart, body []byte, key string) error {
	return s.opts.Router.Route(c.r.Context(), router.Request{
		Start:     start,
		Body:      body,
		Placement: placement.Request{ChatKey: key, Class: c.class},
	}, c.sink)
}

// newServiceStart returns the message that forwards a call of a plain service to
// the home of its backend server.
func (s *Server) newServiceStart(c *call, service *dynamic.Service, path string, rule dynamic.Rule) *peerpb.ForwardStart {
	deadline := effectiveDeadline(c.r, service.Deadline, c.workspace.Deadline)
	if query := c.r.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return &peerpb.ForwardStart{
		RequestId:  c.id,
		Service:    service.Name,
		Workspace:  c.workspace.Name,
		Class:      string(c.class),
		DeadlineMs: uint32(deadline.Milliseconds()),
		Method:     c.r.Method,
		Path:       path,
		Headers:    forward.EncodeHeader(c.r.Header, strippedHeaders...),
		Idempotent: rule.Idempotent,
		Cost:       1,
		Priority:   int32(c.workspace.Priority),
		Weight:     uint32(c.workspace.Weight),
	}
}

// matchRule returns the first rule that matches a call. Without a matching rule,
// only GET and HEAD are idempotent.
func matchRule(service *dynamic.Service, method, path string) dynamic.Rule {
	for _, rule := range service.Rules {
		if !strings.HasPrefix(path, rule.Prefix) {
			continue
		}
		if len(rule.Methods) == 0 || slices.Contains(rule.Methods, method) {
			return rule
		}
	}
	return dynamic.Rule{Idempotent: method == http.MethodGet || method == http.MethodHead}
}
