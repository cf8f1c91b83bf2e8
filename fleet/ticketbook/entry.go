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

// Result is the result of a run: a response, or the error in Err. It must not
// be modified after it is passed to Entry.Finish or returned by Entry.Wait.
type Result struct {
	Status    int
	Header    http.Header
	Body      []byte
	Outcome   outcome.Outcome
	Err       *outcome.Error // error returned to resends, if the run failed
	Truncated bool           // the response is incomplete and is not stored
}

// size returns the number of bytes in the header and body.
func (r *Result) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// phase is the state of an entry. Entries are added as running or voided; the
// only transition is from running to ended.
type phase uint8

const (
	running phase = iota
	ended
	voided
)

// Entry records a ticket that was started or voided. It is safe for concurrent
// use.
type Entry struct {
	book     *Book
	nonce    [ticket.NonceBytes]byte
	expires  time.Time
	bodyHash uint64
	done     chan struct{} // closed by Finish

	// The fields below are guarded by book.mu.
	phase     phase
	dropAt    time.Time
	result    Result
	resendErr *outcome.Error // error returned to resends if no result is stored
	element   *list.Element  // in book.stored; nil if no result is stored
	size      int
}

// Finish records the result of the run and unblocks the callers of Wait. The
// caller that got StartFirst must call it in every case, because an entry that is
// not finished is never dropped. Further calls have no effect.
func (e *Entry) Finish(r Result) {
	b := e.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.phase != running {
		return
	}
	e.phase = ended
	now := b.clock()
	switch {
	case r.Truncated:
		e.resendErr = errTruncated
	case b.reserve(e, r.size()):
		e.result = r
	default:
		e.resendErr = resendError(&r)
	}
	b.scheduleDrop(e, later(now, e.expires))
	close(e.done)
}

// resendError returns the error for resends in place of a result that is not
// stored. The error of a failed run is small and stays as long as the entry.
func resendError(r *Result) *outcome.Error {
	if r.Err != nil {
		return r.Err
	}
	return errNotStored
}

// Wait waits for the end of the run and returns its stored result. It returns an
// *outcome.Error if no result is stored or ctx ends before the run. The error of a
// failed run is in Result.Err, or is returned if its result is no longer stored.
func (e *Entry) Wait(ctx context.Context) (Result, error) {
	select {
	case <-e.done:
	case <-ctx.Done():
		return Result{}, waitError(ctx.Err())
	}
	e.book.mu.Lock()
	defer e.book.mu.Unlock()
	if e.resendErr != nil {
		return Result{}, e.resendErr
	}
	return e.result, nil
}

// waitError returns the error for a context that ended during a run.
func waitError(err error) *outcome.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewUnknown(outcome.CodeDeadlineExceeded, "the request still runs").WithCause(err)
	}
	return outcome.NewUnknown(outcome.CodeCallerGone, "the caller left while the request runs").WithCause(err)
}

// startAgain handles Start for a ticket that has an entry. The caller holds
// book.mu.
func (e *Entry) startAgain(bodyHash uint64) (*Entry, StartResult, error) {
	if e.phase == voided {
		return nil, StartRefused, errVoided
	}
	if e.bodyHash != bodyHash {
		return nil, StartRefused, e.bodyMismatch()
	}
	if e.phase == running {
		return e, StartRunning, nil
	}
	if e.resendErr != nil {
		return nil, StartRefused, e.resendErr
	}
	return e, StartCompleted, nil
}

// bodyMismatch returns the error for a body that differs from the started one.
// The second body did not run, but it may be another encoding of the same
// operation. If the outcome were NotRun, the sender would request another ticket
// and run the operation twice. So the outcome is NotRun only if the first body
// did not run either. The caller holds book.mu.
func (e *Entry) bodyMismatch() *outcome.Error {
	if e.phase == ended && e.finalOutcome() == outcome.NotRun {
		return errInUseNotRun
	}
	return errInUse
}

// finalOutcome returns the outcome of the run as reported to resends. The caller
// holds book.mu.
func (e *Entry) finalOutcome() outcome.Outcome {
	if e.resendErr != nil {
		return e.resendErr.Outcome
	}
	return e.result.Outcome
}

// state returns the state of the ticket. The caller holds book.mu.
func (e *Entry) state() State {
	switch {
	case e.phase == voided:
		return StateVoided
	case e.phase == ended && e.resendErr == nil:
		return StateAnswered
	default:
		return StateStarted
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
