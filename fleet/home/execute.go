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

// Execute implements forward.Executor: it runs a request on the backend server
// that it names, if this daemon is its home and the limit allows.
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
		release(slot, err)
	}()
	h.opts.Observer.QueueWait(start.Workspace, dynamic.Class(start.Class), slot.Waited())
	err = n.run(ctx, start, body, &beginSink{Sink: sink, begin: func() { n.spans.answer(span) }})
	h.opts.Log.Debug().Str("request", start.RequestId).Str("backend", n.vm.ID).
		Dur("queued", slot.Waited()).Err(err).Msg("request ran")
	return err
}

// cancelTime is how long a backend server may go on with a request after its
// connection was closed.
const cancelTime = 300 * time.Millisecond

// release gives a slot back: at once after a whole answer, else when the
// backend server has had time to notice that nobody waits for the rest.
func release(slot *admission.Slot, err error) {
	if err != nil && outcome.From(err).Outcome != outcome.NotRun {
		time.AfterFunc(cancelTime, slot.Release)
		return
	}
	slot.Release()
}

// beginSink tells when an answer begins.
type beginSink struct {
	forward.Sink
	begin func()
}

// Head implements forward.Sink.
func (b *beginSink) Head(head forward.ResponseHead) error {
	b.begin()
	return b.Sink.Head(head)
}

// acquire waits for a slot.
func (n *runner) acquire(ctx context.Context, start *peerpb.ForwardStart, r rules, deadline time.Time) (*admission.Slot, error) {
	if !n.open() {
		return nil, n.closedError()
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

// verdict returns what is known of a request's content; zero has none.
func (h *Home) verdict(fingerprint uint64) quarantine.Verdict {
	if fingerprint == 0 {
		return quarantine.Clear
	}
	return h.opts.Quarantine.Check(fingerprint)
}

// run calls the backend server and passes its answer on.
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
	out := &answer{sink: sink, backend: n.vm.ID, home: n.home.opts.Self.ID}
	before := n.instance.Load()
	result, err := n.home.opts.Client.Do(ctx, call, out)
	if err != nil {
		return n.failed(ctx, start, before, err)
	}
	n.observe(start, result)
	return sink.End(forward.ResponseEnd{Usage: result.Usage})
}

// observe learns from a whole answer.
func (n *runner) observe(start *peerpb.ForwardStart, result backend.Result) {
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

// failed types a failed call and notes a crash of the backend server.
func (n *runner) failed(ctx context.Context, start *peerpb.ForwardStart, before *string, err error) error {
	e := outcome.From(err)
	cut := e.Code == outcome.CodeBackendFailed || e.Code == outcome.CodeResponseTruncated
	if e.Outcome != outcome.Unknown || !cut {
		return e
	}
	suspect := n.home.verdict(start.Fingerprint) != quarantine.Clear
	if start.Fingerprint != 0 && n.crashed(ctx, before) {
		n.home.opts.Quarantine.RecordCrash(start.Fingerprint)
		n.home.opts.OnCrash()
	}
	// A suspect runs alone; what it met is its own doing.
	if start.Idempotent && !suspect {
		return e.WithReplan()
	}
	return e
}

// crashed asks the backend server whether its process is still the one that
// took the request.
func (n *runner) crashed(ctx context.Context, before *string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	report, err := n.home.opts.Client.Report(ctx, n.vm.Address)
	if err != nil {
		return !backend.IsStatusError(err)
	}
	return before != nil && *before != report.Instance
}

// answer adapts a forward.Sink to a backend.Sink.
type answer struct {
	sink    forward.Sink
	backend string
	home    string
}

// Head implements backend.Sink.
func (a *answer) Head(status int, header http.Header) error {
	return a.sink.Head(forward.ResponseHead{Status: status, Header: header, Backend: a.backend, Home: a.home})
}

// Data implements backend.Sink.
func (a *answer) Data(p []byte) error { return a.sink.Data(p) }
