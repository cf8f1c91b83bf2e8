// Package ticketbook holds what one daemon incarnation knows of the tickets
// that name it. It moves each ticket at most once from unused to started and
// keeps answers for resends.
//
// Forgetting is safe. An entry that was started or voided stays until the
// ticket's expiry plus Options.Retain, and an unknown ticket that has expired
// never starts. So a forgotten ticket can't start again. Because a ticket that
// expired more than Retain ago may have been started and forgotten, the book
// then says Unknown, and NotRun only while it still remembers every start.
//
// A ticket stands for one operation of the caller, whatever became of it: one
// whose run ended NotRun stays used, and the caller asks for another ticket.
package ticketbook

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/ticket"
)

// Options bound a Book.
type Options struct {
	Incarnation      uint64 // of this daemon; tickets that name another are refused
	MaxEntries       int
	MaxResponseBytes int // longest answer that is kept for resends
	MaxTotalBytes    int // of all kept answers; the oldest are dropped first
	Retention        time.Duration
}

// StartResult tells a caller of Start what to do.
type StartResult uint8

const (
	// StartRefused comes with an error: the request does not run by this call.
	StartRefused StartResult = iota
	// StartFirst means that the caller must run the request and call Finish once.
	StartFirst
	// StartRunning means that another copy runs; Entry.Wait returns its answer.
	StartRunning
	// StartCompleted means that the answer is kept; Entry.Wait returns it at once.
	StartCompleted
)

// State is what the book can say of a ticket to a caller who withdraws it.
type State uint8

const (
	// StateUnknown means that the ticket may have been started.
	StateUnknown State = iota
	// StateVoided means that the ticket never started and never will.
	StateVoided
	// StateStarted means that the request runs, or ran without a kept answer.
	StateStarted
	// StateAnswered means that the answer is kept.
	StateAnswered
)

// Book is safe for concurrent use.
type Book struct {
	opts Options
	now  func() time.Time
	base time.Time // wall and monotonic reading at New

	mu      sync.Mutex
	latest  time.Time // highest clock reading so far
	entries map[[ticket.NonceBytes]byte]*Entry
	ended   dropQueue  // entries that may be dropped, by time
	answers *list.List // of *Entry with a kept body, the oldest first
	bytes   int        // of all kept answers
}

// New returns an empty Book. Only the monotonic part of now counts after New,
// so a step of the wall clock can't make an expired ticket valid again.
func New(opts Options, now func() time.Time) *Book {
	base := now()
	return &Book{
		opts:    opts,
		now:     now,
		base:    base,
		latest:  base.Round(0),
		entries: make(map[[ticket.NonceBytes]byte]*Entry),
		answers: list.New(),
	}
}

// Start asks to run the request with this body under the ticket. With First
// the caller runs the request; with Running or Answered it waits on the entry;
// otherwise the error is an *outcome.Error.
func (b *Book) Start(t ticket.Ticket, bodyHash uint64) (*Entry, StartResult, error) {
	if t.Incarnation != b.opts.Incarnation {
		return nil, StartRefused, errExecutorGone
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.dropEnded(now)
	if e, ok := b.entries[t.Nonce]; ok {
		return e.resend(bodyHash)
	}
	if b.mayBeForgotten(t, now) {
		return nil, StartRefused, errForgotten
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

// Void withdraws a ticket that has not started, so that it never will, and
// returns what became of it.
func (b *Book) Void(t ticket.Ticket) State {
	if t.Incarnation != b.opts.Incarnation {
		return StateUnknown
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.dropEnded(now)
	if e, ok := b.entries[t.Nonce]; ok {
		return e.state()
	}
	if b.mayBeForgotten(t, now) {
		return StateUnknown
	}
	if !now.Before(t.Expires) {
		return StateVoided // expired unused: there is nothing to remember
	}
	if len(b.entries) >= b.opts.MaxEntries {
		return StateUnknown // it can't be remembered as voided, so it may start
	}
	e := b.add(t, voided)
	b.dropLater(e, t.Expires)
	return StateVoided
}

// Len returns the number of entries.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

// clock returns the time since New added to the wall time at New. It never
// goes back. b.mu is held.
func (b *Book) clock() time.Time {
	now := b.base.Round(0).Add(b.now().Sub(b.base))
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// mayBeForgotten tells whether the ticket, not in the book, could have been
// started and dropped.
func (b *Book) mayBeForgotten(t ticket.Ticket, now time.Time) bool {
	return !now.Before(t.Expires.Add(b.opts.Retention))
}

// add puts a new entry into the book. b.mu is held.
func (b *Book) add(t ticket.Ticket, p phase) *Entry {
	e := &Entry{book: b, nonce: t.Nonce, expires: t.Expires, phase: p, done: make(chan struct{})}
	b.entries[t.Nonce] = e
	return e
}

// dropLater lets the entry go Retain after the given time. b.mu is held.
func (b *Book) dropLater(e *Entry, after time.Time) {
	e.dropAt = after.Add(b.opts.Retention)
	heap.Push(&b.ended, e)
}

// dropEnded drops the entries whose time has come. b.mu is held.
func (b *Book) dropEnded(now time.Time) {
	for len(b.ended) > 0 && !now.Before(b.ended[0].dropAt) {
		e := heap.Pop(&b.ended).(*Entry)
		delete(b.entries, e.nonce)
		b.dropAnswer(e)
	}
}

// keep stores the answer's header and body if they fit, at the cost of the
// oldest ones. b.mu is held.
func (b *Book) keep(e *Entry, size int) bool {
	if size > b.opts.MaxResponseBytes || size > b.opts.MaxTotalBytes {
		return false
	}
	for b.bytes+size > b.opts.MaxTotalBytes {
		b.dropAnswer(b.answers.Front().Value.(*Entry))
	}
	e.size = size
	e.kept = b.answers.PushBack(e)
	b.bytes += size
	return true
}

// dropAnswer forgets the entry's answer, not the entry. b.mu is held.
func (b *Book) dropAnswer(e *Entry) {
	if e.kept == nil {
		return
	}
	b.answers.Remove(e.kept)
	b.bytes -= e.size
	e.kept = nil
	e.lost = lostAnswer(&e.answer)
	e.answer = Result{}
}

// Refusals. They are values of *outcome.Error that callers must not change.
var (
	errExecutorGone = outcome.NewUnknown(outcome.CodeExecutorGone, "the daemon that the ticket names has restarted")
	errForgotten    = outcome.NewUnknown(outcome.CodeTicketExpired, "the ticket expired too long ago to tell whether it was used")
	errExpired      = outcome.NewNotRun(outcome.CodeTicketExpired, "the ticket expired before it was used")
	errVoided       = outcome.NewNotRun(outcome.CodeTicketVoided, "the ticket was withdrawn before it was used")
	errFull         = outcome.NewNotRun(outcome.CodeOverloaded, "too many tickets are in use")
	errInUse        = outcome.NewUnknown(outcome.CodeTicketInUse, "the ticket was used with another body")
	errInUseNotRun  = outcome.NewNotRun(outcome.CodeTicketInUse, "the ticket was used with another body, which did not run")
	errNotKept      = outcome.NewUnknown(outcome.CodeTicketInUse, "the ticket was used and its answer is not kept")
	errTruncated    = outcome.NewUnknown(outcome.CodeResponseTruncated, "the ticket was used and its answer was cut short")
)

// dropQueue is a heap of ended entries, the first one to drop on top.
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
