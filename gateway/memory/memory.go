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
// An owner, such as a backend service, may hold at most as much as remains free. So one
// owner gets half of the budget, and each further one finds half of the rest.
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

// reserve takes n bytes for an owner; the owner "" may use the whole budget. It returns
// ErrFull if there is no room for them.
func (b *Budget) reserve(owner string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, held := b.used+n, b.byOwner[owner]+n
	if b.limit > 0 && (used > b.limit || owner != "" && held > b.limit-used) {
		return ErrFull
	}
	b.used, b.byOwner[owner] = used, held
	return nil
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
		if err := a.budget.reserve(a.owner, more); err != nil {
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

// Close returns all that the account holds.
func (a *Account) Close() {
	if a.counted > 0 {
		a.budget.release(a.owner, a.counted)
	}
	a.size, a.counted = 0, 0
}
