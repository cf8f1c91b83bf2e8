package home

import (
	"context"
	"net/http"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/admission"
	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
)

// Execute implements forward.Executor. It waits until the load limit permits the request
// and runs it on the backend server that start names. It refuses the request if this
// daemon is not the home of the backend server.
func (h *Home) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	n := h.runner(start.Backend)
	if n == nil {
		return outcome.NewNotRun(outcome.CodeNotHome, "this daemon is not the home").WithReplan()
	}
	r, known := rulesOf(h.opts.Config(), start.Service)
	if !known {
		return outcome.NewNotRun(outcome.CodeUnknownService, "service is not in the configuration")
	}
	deadline := time.Duration(start.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()

	slot, err := n.acquire(ctx, start, r, h.opts.Now().Add(deadline))
	if err != nil {
		return err
	}
	span := n.spans.begin()
	defer func() {
		n.spans.finish(span)
		releaseSlot(slot, err)
	}()
	h.opts.Observer.QueueWait(start.Workspace, dynamic.Class(start.Class), slot.Waited())
	err = n.run(ctx, start, body, &headSink{Sink: sink, onHead: func() { n.spans.respond(span) }})
	h.opts.Log.Debug().Str("request", start.RequestId).Str("backend", n.vm.ID).
		Dur("queued", slot.Waited()).Err(err).Msg("request ran")
	return err
}

// cancelDelay is the time for which a backend server may continue with a request after its
// connection was closed.
const cancelDelay = 300 * time.Millisecond

// releaseSlot releases the slot of a request that ended with err. It does so at once if the
// response was complete or the request was not run. Otherwise it waits until the backend
// server has had time to detect the closed connection and cancel the request.
func releaseSlot(slot *admission.Slot, err error) {
	if err != nil && outcome.From(err).Outcome != outcome.NotRun {
		time.AfterFunc(cancelDelay, slot.Release)
		return
	}
	slot.Release()
}

// headSink calls onHead when a response begins.
type headSink struct {
	forward.Sink
	onHead func()
}

// Head implements forward.Sink.
func (b *headSink) Head(head forward.ResponseHead) error {
	b.onHead()
	return b.Sink.Head(head)
}

// acquire waits for a slot of the admission queue. It refuses quarantined requests.
func (n *runner) acquire(ctx context.Context, start *peerpb.ForwardStart, r rules, deadline time.Time) (*admission.Slot, error) {
	if !n.available() {
		return nil, n.unavailableError()
	}
	verdict := n.home.verdict(start.Fingerprint)
	if verdict == quarantine.Refused {
		return nil, outcome.NewNotRun(outcome.CodeQuarantined, "request has crashed backend servers")
	}
	return n.queue.Acquire(ctx, admission.Item{
		Workspace:    start.Workspace,
		Class:        dynamic.Class(start.Class),
		Priority:     int(start.Priority),
		Weight:       int(start.Weight),
		Cost:         int(max(1, start.Cost)),
		Deadline:     deadline,
		QueueTimeout: r.queueTimeout,
		Exclusive:    verdict == quarantine.Suspect,
	})
}

// verdict returns the quarantine verdict on a request. A request without a fingerprint,
// which is zero, is clear.
func (h *Home) verdict(fingerprint uint64) quarantine.Verdict {
	if fingerprint == 0 {
		return quarantine.Clear
	}
	return h.opts.Quarantine.Check(fingerprint)
}

// run calls the backend server and forwards its response to sink.
func (n *runner) run(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	call := backend.Call{
		Address:    n.vm.Address,
		Method:     start.Method,
		Path:       start.Path,
		Header:     forward.DecodeHeader(start.Headers),
		Body:       body,
		Idempotent: start.Idempotent,
		RequestID:  start.RequestId,
	}
	out := &responseSink{sink: sink, backend: n.vm.ID, home: n.home.opts.Self.ID}
	instanceBefore := n.instance.Load()
	result, err := n.home.opts.Client.Do(ctx, call, out)
	if err != nil {
		return n.handleFailure(ctx, start, instanceBefore, err)
	}
	n.recordCompletion(start, result)
	return sink.End(forward.ResponseEnd{Usage: result.Usage})
}

// recordCompletion records the quarantine result and the times of a complete response.
func (n *runner) recordCompletion(start *peerpb.ForwardStart, result backend.Result) {
	if start.Fingerprint == 0 {
		return
	}
	n.home.opts.Quarantine.RecordCompleted(start.Fingerprint)
	if result.Events < 2 {
		return
	}
	perToken := (result.LastData - result.FirstData) / time.Duration(result.Events-1)
	uncached := result.Usage.PromptTokens - result.Usage.CachedTokens
	n.home.opts.Estimator.Observe(result.LastData, result.FirstData, perToken, uncached)
	n.detector().Observe(n.vm.ID, result.FirstData, perToken, uncached)
}

// handleFailure returns the outcome of a failed call and records a crash of the backend
// server, if there was one.
func (n *runner) handleFailure(ctx context.Context, start *peerpb.ForwardStart, instanceBefore *string, err error) error {
	e := outcome.From(err)
	connectionFailed := e.Code == outcome.CodeBackendFailed || e.Code == outcome.CodeResponseTruncated
	if e.Outcome != outcome.Unknown || !connectionFailed {
		return e
	}
	suspect := n.home.verdict(start.Fingerprint) != quarantine.Clear
	if start.Fingerprint != 0 && n.hasCrashed(ctx, instanceBefore) {
		n.home.opts.Quarantine.RecordCrash(start.Fingerprint)
		n.home.opts.OnCrash()
	}
	// A suspect runs alone, so the failure is attributed to it, and it is not sent to
	// another backend server.
	if start.Idempotent && !suspect {
		return e.WithReplan()
	}
	return e
}

// hasCrashed reports whether the process of the backend server has ended since the
// request was sent, by the instance in a new load report. It also returns true if the
// backend server sends no HTTP response.
func (n *runner) hasCrashed(ctx context.Context, instanceBefore *string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	report, err := n.home.opts.Client.Report(ctx, n.vm.Address)
	if err != nil {
		return !backend.HasResponded(err)
	}
	return instanceBefore != nil && *instanceBefore != report.Instance
}

// responseSink adapts a forward.Sink to a backend.Sink.
type responseSink struct {
	sink    forward.Sink
	backend string
	home    string
}

// Head implements backend.Sink.
func (a *responseSink) Head(status int, header http.Header) error {
	return a.sink.Head(forward.ResponseHead{Status: status, Header: header, Backend: a.backend, Home: a.home})
}

// Data implements backend.Sink.
func (a *responseSink) Data(p []byte) error { return a.sink.Data(p) }
