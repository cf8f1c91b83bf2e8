package executor

import (
	"net/http"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/outcome"
)

// recorder forwards a response to a sink and records it for resends. A failure of
// the sink does not end the run.
type recorder struct {
	sink  forward.Sink
	limit int // bytes

	head      forward.ResponseHead
	body      []byte
	truncated bool
	err       error // the first failure of the sink
}

// Head implements forward.Sink.
func (r *recorder) Head(head forward.ResponseHead) error {
	r.head = head
	r.forward(func() error { return r.sink.Head(head) })
	return nil
}

// Data implements forward.Sink.
func (r *recorder) Data(p []byte) error {
	if len(r.body)+len(p) > r.limit {
		r.truncated = true
		r.body = nil
	}
	if !r.truncated {
		r.body = append(r.body, p...)
	}
	r.forward(func() error { return r.sink.Data(p) })
	return nil
}

// End implements forward.Sink.
func (r *recorder) End(end forward.ResponseEnd) error {
	r.forward(func() error { return r.sink.End(end) })
	return nil
}

// forward calls the sink unless an earlier call to it has failed.
func (r *recorder) forward(call func() error) {
	if r.err != nil {
		return
	}
	if err := call(); err != nil {
		r.err = outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
	}
}

// result returns the result of the run to store, where err is the error of the
// run.
func (r *recorder) result(err error) ticketbook.Result {
	if err != nil {
		e := outcome.From(err)
		return ticketbook.Result{Outcome: e.Outcome, Err: e}
	}
	return ticketbook.Result{
		Status:    r.head.Status,
		Header:    r.head.Header,
		Body:      r.body,
		Outcome:   outcome.Answered,
		Truncated: r.truncated,
	}
}

// replay writes a stored result to the sink of a resend.
func replay(result ticketbook.Result, sink forward.Sink) error {
	if result.Err != nil {
		return result.Err
	}
	header := result.Header
	if header == nil {
		header = make(http.Header)
	}
	if err := sink.Head(forward.ResponseHead{Status: result.Status, Header: header.Clone()}); err != nil {
		return err
	}
	if err := sink.Data(result.Body); err != nil {
		return err
	}
	return sink.End(forward.ResponseEnd{})
}
