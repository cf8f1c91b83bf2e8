package ticketbook

import (
	"container/list"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/ticket"
)

// Result is how a run ended. It must not be changed once it is handed over.
type Result struct {
	Status    int
	Header    http.Header
	Body      []byte
	Outcome   outcome.Outcome
	Err       *outcome.Error // the failure to repeat to resends, if any
	Truncated bool           // the answer was cut short: it is never kept
}

// size counts the bytes that the answer holds.
func (a *Result) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// phase is the state of an entry. Entries are added running or voided, and the
// only move is from running to ended.
type phase uint8

const (
	running phase = iota
	ended
	voided
)

// Entry is one ticket that was started or voided.
type Entry struct {
	book     *Book
	nonce    [ticket.NonceBytes]byte
	expires  time.Time
	bodyHash uint64
	done     chan struct{} // closed by Finish

	// The fields below are guarded by book.mu.
	phase  phase
	dropAt time.Time
	answer Result
	lost   *outcome.Error // why no answer is kept
	kept   *list.Element  // in book.answers; nil when no answer is kept
	size   int
}

// Finish records how the run ended and wakes those who wait. The caller to
// whom Start said First calls it exactly once, whatever happens; further calls
// have no effect. An entry that is never finished stays in the book.
func (e *Entry) Finish(a Result) {
	b := e.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.phase != running {
		return
	}
	e.phase = ended
	now := b.clock()
	switch {
	case a.Truncated:
		e.lost = errTruncated
	case b.keep(e, a.size()):
		e.answer = a
	default:
		e.lost = lostAnswer(&a)
	}
	b.dropLater(e, later(now, e.expires))
	close(e.done)
}

// lostAnswer is what a resend hears in place of an answer that is not kept. A
// failure is small, and kept as long as the entry.
func lostAnswer(a *Result) *outcome.Error {
	if a.Err != nil {
		return a.Err
	}
	return errNotKept
}

// Wait returns the kept answer once the run has ended. Its error is an
// *outcome.Error: the answer is not kept, or ctx ended before the run.
func (e *Entry) Wait(ctx context.Context) (Result, error) {
	select {
	case <-e.done:
	case <-ctx.Done():
		return Result{}, waitError(ctx.Err())
	}
	e.book.mu.Lock()
	defer e.book.mu.Unlock()
	if e.lost != nil {
		return Result{}, e.lost
	}
	return e.answer, nil
}

func waitError(err error) *outcome.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewUnknown(outcome.CodeDeadlineExceeded, "the request still runs").WithCause(err)
	}
	return outcome.NewUnknown(outcome.CodeCallerGone, "the caller left while the request runs").WithCause(err)
}

// resend answers a Start for a ticket that is in the book. book.mu is held.
func (e *Entry) resend(bodyHash uint64) (*Entry, StartResult, error) {
	if e.phase == voided {
		return nil, StartRefused, errVoided
	}
	if e.bodyHash != bodyHash {
		return nil, StartRefused, e.otherBody()
	}
	if e.phase == running {
		return e, StartRunning, nil
	}
	if e.lost != nil {
		return nil, StartRefused, e.lost
	}
	return e, StartCompleted, nil
}

// otherBody refuses another body than the one that was started. That body did
// not run, but its sender may have encoded the same operation once more; told
// NotRun, it would draw another ticket and run the operation twice. So NotRun
// is said only where the first body did not run either. book.mu is held.
func (e *Entry) otherBody() *outcome.Error {
	if e.phase == ended && e.endedAs() == outcome.NotRun {
		return errInUseNotRun
	}
	return errInUse
}

// endedAs returns what resends hear of the run. book.mu is held.
func (e *Entry) endedAs() outcome.Outcome {
	if e.lost != nil {
		return e.lost.Outcome
	}
	return e.answer.Outcome
}

// state tells what became of the ticket. book.mu is held.
func (e *Entry) state() State {
	switch {
	case e.phase == voided:
		return StateVoided
	case e.phase == ended && e.lost == nil:
		return StateAnswered
	default:
		return StateStarted
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
