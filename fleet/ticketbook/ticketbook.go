// Package ticketbook records the use of the tickets that name one daemon
// incarnation. It starts each ticket at most once and stores the result of the
// run for resends of the request.
//
// Entries can be dropped without the risk of a second run. A started or voided
// entry stays at least until the expiry of its ticket plus Options.Retention, and
// an expired ticket without an entry is never started. A ticket that expired
// more than Retention ago may have been started and dropped, so the book reports
// outcome.Unknown for it. It reports outcome.NotRun for an expired ticket only
// while every start is still on record.
//
// A ticket stands for one operation of the caller, whatever its outcome: a
// ticket whose run ended with outcome.NotRun stays used, and the caller must
// request another one.
package ticketbook

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/ticket"
)

// Options configures a Book.
type Options struct {
	Incarnation      uint64        // of this daemon; tickets of another incarnation are refused
	MaxEntries       int           // started and voided tickets on record
	MaxResponseBytes int           // largest response, header and body, that is stored for resends
	MaxTotalBytes    int           // of all stored responses; the oldest ones are dropped first
	Retention        time.Duration // minimum time that an entry stays after its ticket's expiry and its run's end
}

// StartResult is what the caller of Start must do.
type StartResult uint8

const (
	// StartRefused means that this call does not run the request. It comes with
	// an error.
	StartRefused StartResult = iota
	// StartFirst means that the caller must run the request and then call
	// Entry.Finish.
	StartFirst
	// StartRunning means that another copy of the request is running. Entry.Wait
	// returns its result.
	StartRunning
	// StartCompleted means that the result is stored. Entry.Wait returns it at
	// once.
	StartCompleted
)

// State is the state of a ticket as reported by Void.
type State uint8

const (
	// StateUnknown means that the ticket may have been started or may still start.
	StateUnknown State = iota
	// StateVoided means that the ticket was never started and never will be.
	StateVoided
	// StateStarted means that the request is running, or ran and its result is
	// not stored.
	StateStarted
	// StateAnswered means that the result of the run is stored.
	StateAnswered
)

// Book records started and voided tickets and the results of their runs. It is
// safe for concurrent use.
type Book struct {
	opts Options
	now  func() time.Time
	base time.Time // clock reading at New, wall and monotonic

	mu      sync.Mutex
	latest  time.Time // latest time that clock returned
	entries map[[ticket.NonceBytes]byte]*Entry
	drops   dropQueue  // ended and voided entries, ordered by drop time
	stored  *list.List // of *Entry with a stored result, oldest first
	bytes   int        // total size of the stored results
}

// New returns an empty Book. After New, only the monotonic part of the readings
// of now is used, so that a step of the wall clock cannot make an expired ticket
// valid again.
func New(opts Options, now func() time.Time) *Book {
	base := now()
	return &Book{
		opts:    opts,
		now:     now,
		base:    base,
		latest:  base.Round(0),
		entries: make(map[[ticket.NonceBytes]byte]*Entry),
		stored:  list.New(),
	}
}

// Start requests to run a request under ticket t. bodyHash identifies the
// request. With StartFirst, the caller runs the request; with StartRunning or
// StartCompleted, it calls Entry.Wait. With StartRefused, the error is an
// *outcome.Error.
func (b *Book) Start(t ticket.Ticket, bodyHash uint64) (*Entry, StartResult, error) {
	if t.Incarnation != b.opts.Incarnation {
		return nil, StartRefused, errExecutorGone
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.dropDue(now)
	if e, ok := b.entries[t.Nonce]; ok {
		return e.startAgain(bodyHash)
	}
	if b.mayHaveBeenDropped(t, now) {
		return nil, StartRefused, errDropped
	}
	if !now.Before(t.Expires) {
		return nil, StartRefused, errExpired
	}
	if len(b.entries) >= b.opts.MaxEntries {
		return nil, StartRefused, errFull
	}
	e := b.add(t, running)
	e.bodyHash = bodyHash
	return e, StartFirst, nil
}

// Void voids a ticket that has not been started, so that it can never be started,
// and returns the state of the ticket. A started ticket is not changed.
func (b *Book) Void(t ticket.Ticket) State {
	if t.Incarnation != b.opts.Incarnation {
		return StateUnknown
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.dropDue(now)
	if e, ok := b.entries[t.Nonce]; ok {
		return e.state()
	}
	if b.mayHaveBeenDropped(t, now) {
		return StateUnknown
	}
	if !now.Before(t.Expires) {
		return StateVoided // expired unused: Start refuses it without an entry
	}
	if len(b.entries) >= b.opts.MaxEntries {
		return StateUnknown // there is no room to record it as voided, so it may still start
	}
	e := b.add(t, voided)
	b.scheduleDrop(e, t.Expires)
	return StateVoided
}

// Len returns the number of entries, including those due to be dropped.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

// clock returns the wall time at New plus the monotonic time since then. It
// never goes backwards. The caller holds b.mu.
func (b *Book) clock() time.Time {
	now := b.base.Round(0).Add(b.now().Sub(b.base))
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// mayHaveBeenDropped reports whether a ticket without an entry may have been
// started and its entry dropped.
func (b *Book) mayHaveBeenDropped(t ticket.Ticket, now time.Time) bool {
	return !now.Before(t.Expires.Add(b.opts.Retention))
}

// add adds an entry for a ticket. The caller holds b.mu.
func (b *Book) add(t ticket.Ticket, p phase) *Entry {
	e := &Entry{book: b, nonce: t.Nonce, expires: t.Expires, phase: p, done: make(chan struct{})}
	b.entries[t.Nonce] = e
	return e
}

// scheduleDrop makes an entry due to be dropped Retention after the given time.
// The caller holds b.mu.
func (b *Book) scheduleDrop(e *Entry, after time.Time) {
	e.dropAt = after.Add(b.opts.Retention)
	heap.Push(&b.drops, e)
}

// dropDue drops the entries that are due. The caller holds b.mu.
func (b *Book) dropDue(now time.Time) {
	for len(b.drops) > 0 && !now.Before(b.drops[0].dropAt) {
		e := heap.Pop(&b.drops).(*Entry)
		delete(b.entries, e.nonce)
		b.dropResult(e)
	}
}

// reserve accounts for a result of the given size in bytes and drops the oldest
// results if there is no room for it. It reports whether the result may be
// stored. The caller holds b.mu.
func (b *Book) reserve(e *Entry, size int) bool {
	if size > b.opts.MaxResponseBytes || size > b.opts.MaxTotalBytes {
		return false
	}
	for b.bytes+size > b.opts.MaxTotalBytes {
		b.dropResult(b.stored.Front().Value.(*Entry))
	}
	e.size = size
	e.element = b.stored.PushBack(e)
	b.bytes += size
	return true
}

// dropResult drops the stored result of an entry, but not the entry itself. The
// caller holds b.mu.
func (b *Book) dropResult(e *Entry) {
	if e.element == nil {
		return
	}
	b.stored.Remove(e.element)
	b.bytes -= e.size
	e.element = nil
	e.resendErr = resendError(&e.result)
	e.result = Result{}
}

// Refusals that Start and Wait return. Callers must not modify them.
var (
	errExecutorGone = outcome.NewUnknown(outcome.CodeExecutorGone, "the daemon that the ticket names has restarted")
	errDropped      = outcome.NewUnknown(outcome.CodeTicketExpired, "the ticket expired too long ago to tell whether it was used")
	errExpired      = outcome.NewNotRun(outcome.CodeTicketExpired, "the ticket expired before it was used")
	errVoided       = outcome.NewNotRun(outcome.CodeTicketVoided, "the ticket was withdrawn before it was used")
	errFull         = outcome.NewNotRun(outcome.CodeOverloaded, "too many tickets are in use")
	errInUse        = outcome.NewUnknown(outcome.CodeTicketInUse, "the ticket was used with another body")
	errInUseNotRun  = outcome.NewNotRun(outcome.CodeTicketInUse, "the ticket was used with another body, which did not run")
	errNotStored    = outcome.NewUnknown(outcome.CodeTicketInUse, "the ticket was used and its answer is not kept")
	errTruncated    = outcome.NewUnknown(outcome.CodeResponseTruncated, "the ticket was used and its answer was cut short")
)

// dropQueue is a min-heap of entries by drop time.
type dropQueue []*Entry

func (q dropQueue) Len() int           { return len(q) }
func (q dropQueue) Less(i, j int) bool { return q[i].dropAt.Before(q[j].dropAt) }
func (q dropQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dropQueue) Push(x any) { *q = append(*q, x.(*Entry)) }

// Pop implements heap.Interface.
func (q *dropQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
