package memory

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Load pattern: one service's responses take what they can get. Guards against the
// responses of other services finding nothing left.
func TestBudget_OwnerLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1000)
	fill := func(owner string) int64 {
		var held int64
		for range 1000 {
			a := b.Open(owner, 0)
			if a.Grow(1) != nil {
				break
			}
			held++
		}
		return held
	}
	is.Equal(fill("flood"), int64(500))
	is.Equal(fill("second"), int64(250))
	is.Equal(fill("third"), int64(125))
	is.True(b.Used() <= 1000)
}

// Load pattern: accounts that grow until the budget is full. Guards against large ones that
// leave no room for small ones.
func TestAccount_OwnLeavesRoomForSmaller(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1000)
	large, second := b.OpenOwn(0), b.OpenOwn(0)
	is.NoErr(large.Grow(500))
	is.Equal(large.Missing(501), int64(2)) // it would hold 501, and 499 would be free
	is.True(errors.Is(large.Grow(1), ErrFull))
	is.NoErr(second.Grow(250))
	is.True(errors.Is(second.Grow(1), ErrFull))
	small := b.OpenOwn(0)
	is.NoErr(small.Grow(100))
	is.Equal(b.Used(), int64(850))
	large.Close()
	is.Equal(second.Missing(251), int64(0))
	is.NoErr(second.Grow(1))
}

func TestAccount_CountsBeyondWhatIsFree(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	a := b.Open("", 10)
	is.NoErr(a.Grow(10))
	is.Equal(b.Used(), int64(0))
	is.NoErr(a.Grow(100))
	is.Equal(b.Used(), int64(100))
	is.True(errors.Is(a.Grow(1), ErrFull))
	is.Equal(a.Size(), int64(110)) // a refused growth changes nothing
	is.Equal(b.Used(), int64(100))
	is.NoErr(a.Resize(60))
	is.Equal(b.Used(), int64(50))
	small := b.Open("", 10)
	is.NoErr(small.Grow(10))
	is.NoErr(small.Grow(50))
	is.True(errors.Is(small.Grow(1), ErrFull))
	a.Close()
	a.Close()
	is.NoErr(small.Grow(1))
	small.Close()
	is.Equal(b.Used(), int64(0))
	is.Equal(len(b.byOwner), 0)
}

func TestBudget_WithoutLimit(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0)
	a := b.Open("x", 0)
	is.NoErr(a.Grow(1 << 40))
	is.Equal(b.Used(), int64(1)<<40)
	a.Close()
	is.Equal(b.Used(), int64(0))
}
