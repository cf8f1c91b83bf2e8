package executor

import (
	"net/http"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/outcome"
)

// recorder passes an answer on and keeps a copy for resends. A receiver that
// went away does not end the run.
type recorder struct {
	sink  forward.Sink
	limit int // bytes

	head      forward.ResponseHead
	body      []byte
	truncated bool
	err       error // the first failure of the receiver
}

// Head implements forward.Sink.
func (r *recorder) Head(head forward.ResponseHead) error {
	r.head = head
	r.pass(func() error { return r.sink.Head(head) })
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
	r.pass(func() error { return r.sink.Data(p) })
	return nil
}

// End implements forward.Sink.
func (r *recorder) End(end forward.ResponseEnd) error {
	r.pass(func() error { return r.sink.End(end) })
	return nil
}

// pass calls the receiver unless it has failed before.
func (r *recorder) pass(call func() error) {
	if r.err != nil {
		return
	}
	if err := call(); err != nil {
		r.err = outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
	}
}

// answer returns what the book keeps of the run.
func (r *recorder) answer(err error) ticketbook.Result {
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

// replay passes a kept answer to a resend.
func replay(answer ticketbook.Result, sink forward.Sink) error {
	if answer.Err != nil {
		return answer.Err
	}
	header := answer.Header
	if header == nil {
		header = make(http.Header)
	}
	if err := sink.Head(forward.ResponseHead{Status: answer.Status, Header: header.Clone()}); err != nil {
		return err
	}
	if err := sink.Data(answer.Body); err != nil {
		return err
	}
	return sink.End(forward.ResponseEnd{})
}
