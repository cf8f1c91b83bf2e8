// Package memory limits how much memory what others send takes in a process, as a sum over
// all that is held at once. A Budget counts bytes that its users report; it allocates
// nothing.
package memory

import (
	"errors"
	"sync"
)

// ErrFull is returned when a budget has no room for more.
var ErrFull = errors.New("memory: budget exhausted")

// Budget is a limit on the bytes that are held at once. It is safe for concurrent use.
//
// An owner, such as a backend service or a single large account, may hold at most as much as
// remains free. So one owner gets half of the budget, and each further one finds half of the
// rest.
type Budget struct {
	limit int64 // bytes; 0: no limit

	mu      sync.Mutex
	used    int64
	byOwner map[string]int64 // without those that hold nothing
}

// NewBudget returns a budget of so many bytes; 0 means without limit.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, byOwner: make(map[string]int64)}
}

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserve takes n bytes for an account. It returns ErrFull if there is no room for them.
func (b *Budget) reserve(a *Account, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.missing(a, n) > 0 {
		return ErrFull
	}
	b.used += n
	b.byOwner[a.owner] += n
	return nil
}

// missing returns how many bytes other accounts must release before an account may hold n
// more; 0 if it may hold them now. b.mu must be held.
func (b *Budget) missing(a *Account, n int64) int64 {
	if b.limit <= 0 {
		return 0
	}
	free := b.limit - b.used - n
	var held int64 // that must remain free
	switch {
	case a.own:
		held = a.counted + n
	case a.owner != "":
		held = b.byOwner[a.owner] + n
	}
	return max(held-free, 0)
}

// release returns n bytes of an owner.
func (b *Budget) release(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.byOwner[owner] -= n
	if b.byOwner[owner] == 0 {
		delete(b.byOwner, owner)
	}
}

// Account is what one request holds of a budget. The zero value counts nothing and has no
// limit. It is not safe for concurrent use.
type Account struct {
	budget  *Budget
	owner   string
	own     bool  // the account is an owner by itself
	free    int64 // bytes that are not counted
	size    int64 // bytes that are held
	counted int64 // bytes of these that the budget counts
}

// Open returns an account that holds nothing. The first free bytes that it holds are not
// counted, so that what is large can't displace what is small; the number of accounts
// limits them.
func (b *Budget) Open(owner string, free int64) Account {
	return Account{budget: b, owner: owner, free: free}
}

// OpenOwn returns an account like Open that is an owner by itself: it may hold at most as
// much as remains free.
func (b *Budget) OpenOwn(free int64) Account {
	return Account{budget: b, own: true, free: free}
}

// Size returns how many bytes the account holds.
func (a *Account) Size() int64 { return a.size }

// Resize sets how many bytes the account holds. It returns ErrFull, and changes nothing, if
// the budget has no room for them.
func (a *Account) Resize(size int64) error {
	if a.budget == nil {
		a.size = size
		return nil
	}
	counted := max(size-a.free, 0)
	switch more := counted - a.counted; {
	case more > 0:
		if err := a.budget.reserve(a, more); err != nil {
			return err
		}
	case more < 0:
		a.budget.release(a.owner, -more)
	}
	a.size, a.counted = size, counted
	return nil
}

// Grow adds n bytes. It returns ErrFull, and changes nothing, if the budget has no room for
// them.
func (a *Account) Grow(n int64) error { return a.Resize(a.size + n) }

// Counted returns how many bytes of the budget the account holds.
func (a *Account) Counted() int64 { return a.counted }

// Missing returns how many bytes other accounts must release before this one may hold size
// bytes; 0 if it may now.
func (a *Account) Missing(size int64) int64 {
	if a.budget == nil {
		return 0
	}
	more := max(size-a.free, 0) - a.counted
	if more <= 0 {
		return 0
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.missing(a, more)
}

// Close returns all that the account holds.
func (a *Account) Close() {
	if a.counted > 0 {
		a.budget.release(a.owner, a.counted)
	}
	a.size, a.counted = 0, 0
}
