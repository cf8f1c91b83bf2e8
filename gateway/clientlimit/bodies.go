package clientlimit

import (
	"errors"
	"slices"
	"sync"
	"time"

	"cassialatch.dev/gateway/memory"
)

// stallTime is how long a body must have made no progress before it may be evicted for
// another one. Connections that wait or are idle for less are evicted last.
const stallTime = 500 * time.Millisecond

// Bodies is the memory for the request bodies that are held at once. A body may grow only
// to the size that remains free, so that a large one leaves room for smaller ones. A body
// that finds no room evicts incomplete ones that make no progress.
type Bodies struct {
	budget *memory.Budget
	now    func() time.Time
	// onEvict is called for each body that is evicted, with b.mu held.
	onEvict func(Cause)

	mu         sync.Mutex
	incomplete []*Body // those that hold counted memory, in no order
}

// NewBodies returns an account of bodies of up to limit bytes in total; 0 means without
// limit. onEvict is called for each body that is evicted, and must not call methods of the
// account.
func NewBodies(limit int64, now func() time.Time, onEvict func(Cause)) *Bodies {
	return &Bodies{budget: memory.NewBudget(limit), now: now, onEvict: onEvict}
}

// Used returns how many bytes are counted.
func (b *Bodies) Used() int64 { return b.budget.Used() }

// Interrupter ends a blocked read of a body; *http.ResponseController implements it.
type Interrupter interface {
	SetReadDeadline(time.Time) error
}

// Body is what the body of one request holds. The zero value counts nothing and has no
// limit.
type Body struct {
	bodies  *Bodies // nil: no limit
	account memory.Account
	conn    Interrupter
	tracked bool // was listed; used by the body's own goroutine only

	// Guarded by bodies.mu.
	listed   bool // in bodies.incomplete
	index    int  // there
	progress time.Time
	evicted  bool
}

// Open returns the account of a body that is about to be read. Its first free bytes are not
// counted. To evict the body, its reads are interrupted.
func (b *Bodies) Open(free int64, conn Interrupter) Body {
	return Body{bodies: b, account: b.budget.OpenOwn(free), conn: conn}
}

// Resize sets how many bytes are allocated for the body. It returns memory.ErrFull, and
// changes nothing, if there is no room for them even after the eviction of bodies that are
// stalled; and an error of type *ClosedError if the body itself was evicted.
func (b *Body) Resize(size int64) error {
	if b.bodies == nil {
		return nil
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if b.evicted {
		return &ClosedError{Cause: CauseBodyStalled}
	}
	err := b.account.Resize(size)
	if errors.Is(err, memory.ErrFull) && b.bodies.makeRoom(b, size) {
		err = b.account.Resize(size)
	}
	if err == nil && b.account.Counted() > 0 {
		b.tracked = true
		b.list()
	}
	return err
}

// Progress records that a part of the body has arrived.
func (b *Body) Progress() {
	if !b.tracked {
		return
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.progress = b.bodies.now()
}

// Evicted reports whether the body was evicted.
func (b *Body) Evicted() bool {
	if b.bodies == nil {
		return false
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	return b.evicted
}

// Complete records that the whole body has arrived; it is not evicted any more. It returns
// an error of type *ClosedError if that has happened before.
func (b *Body) Complete() error {
	if b.bodies == nil {
		return nil
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if b.evicted {
		return &ClosedError{Cause: CauseBodyStalled}
	}
	b.unlist()
	return nil
}

// Close returns all that the body holds. It may be called more than once.
func (b *Body) Close() {
	if b.bodies == nil {
		return
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.unlist()
	b.account.Close()
	b.conn = nil // the record of the request may be kept
}

// makeRoom evicts stalled bodies, beginning with those that have made no progress for
// longest, so that a body may have the given size. If that is not possible, it evicts none
// and returns false. b.mu must be held.
func (b *Bodies) makeRoom(body *Body, size int64) bool {
	now := b.now()
	var stalled []*Body
	for _, other := range b.incomplete {
		if other != body && now.Sub(other.progress) >= stallTime {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(x, y *Body) int { return x.progress.Compare(y.progress) })
	missing, n := body.account.Missing(size), 0
	for ; missing > 0 && n < len(stalled); n++ {
		missing -= stalled[n].account.Counted()
	}
	if missing > 0 {
		return false
	}
	for _, other := range stalled[:n] {
		other.evict()
	}
	return true
}

// evict ends the read of the body and returns its memory. bodies.mu must be held, so that
// the read deadline is not changed after Complete has returned.
func (b *Body) evict() {
	b.unlist()
	b.account.Close()
	b.evicted = true
	// An error means that the connection is closed or has no deadlines. Then the body is
	// refused when it arrives.
	_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	b.bodies.onEvict(CauseBodyStalled)
}

// list adds the body to the incomplete ones. bodies.mu must be held.
func (b *Body) list() {
	b.progress = b.bodies.now()
	if b.listed {
		return
	}
	b.listed, b.index = true, len(b.bodies.incomplete)
	b.bodies.incomplete = append(b.bodies.incomplete, b)
}

// unlist removes the body from the incomplete ones. bodies.mu must be held.
func (b *Body) unlist() {
	if !b.listed {
		return
	}
	all := b.bodies.incomplete
	last := all[len(all)-1]
	all[b.index], last.index = last, b.index
	all[len(all)-1] = nil
	b.bodies.incomplete = all[:len(all)-1]
	b.listed = false
}
