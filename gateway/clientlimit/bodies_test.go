package clientlimit

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/memory"
)

// interrupted counts the reads that were ended.
type interrupted int

func (n *interrupted) SetReadDeadline(time.Time) error {
	*n++
	return nil
}

// fakeClock is a clock that only moves when it is told to.
type fakeClock struct{ t time.Time }

func (c *fakeClock) now() time.Time { return c.t }

func (c *fakeClock) advance(d time.Duration) { c.t = c.t.Add(d) }

// newTestBodies returns an account of bodies, its clock, and the number of evictions.
func newTestBodies(limit int64) (b *Bodies, clock *fakeClock, evictions *int) {
	clock, evictions = &fakeClock{t: time.Unix(1000, 0)}, new(int)
	b = NewBodies(limit, clock.now, func(Cause) { *evictions++ })
	return b, clock, evictions
}

// Load pattern: bodies that stop half-way fill the memory. Guards against bodies that arrive
// being refused, and against the eviction of one that still makes progress, or of more than
// is needed.
func TestBodies_EvictWhatStalledLongest(t *testing.T) {
	is := is.New(t)
	b, clock, evictions := newTestBodies(1000)
	conns := make([]interrupted, 4)
	bodies := make([]Body, len(conns))
	for i := range bodies {
		bodies[i] = b.Open(0, &conns[i])
	}
	for i := range 3 {
		is.NoErr(bodies[i].Resize(200))
		clock.advance(100 * time.Millisecond)
	}
	bodies[0].Progress()
	last := &bodies[3]
	is.True(errors.Is(last.Resize(300), memory.ErrFull)) // nothing is stalled yet
	clock.advance(stallTime - 200*time.Millisecond)
	is.True(errors.Is(last.Resize(900), memory.ErrFull)) // an eviction does not help
	is.Equal(*evictions, 0)
	clock.advance(100 * time.Millisecond)
	is.NoErr(last.Resize(300))
	is.Equal(*evictions, 1)
	is.Equal(conns[1], interrupted(1))
	is.Equal(conns[0]+conns[2]+conns[3], interrupted(0))
	is.Equal(b.Used(), int64(700))

	var closed *ClosedError
	is.True(bodies[1].Evicted())
	is.True(errors.As(bodies[1].Complete(), &closed)) // though its rest has arrived since
	is.True(errors.As(bodies[1].Resize(1), &closed))
	is.Equal(closed.Cause, CauseBodyStalled)
	for i := range bodies {
		bodies[i].Close()
		bodies[i].Close()
	}
	is.Equal(b.Used(), int64(0))
	is.Equal(len(b.incomplete), 0)
}

// Guards against the eviction of a request whose body was read completely, which may run
// already.
func TestBodies_DoNotEvictWhatIsComplete(t *testing.T) {
	is := is.New(t)
	b, clock, evictions := newTestBodies(1000)
	var conn interrupted
	complete, other := b.Open(0, &conn), b.Open(0, &conn)
	is.NoErr(complete.Resize(500))
	is.NoErr(complete.Complete())
	clock.advance(time.Hour)
	is.True(errors.Is(other.Resize(300), memory.ErrFull))
	is.Equal(*evictions, 0)
	is.Equal(conn, interrupted(0))
	is.True(!complete.Evicted())
}

// Load pattern: the memory is full of bodies that make progress. Guards against small
// bodies being refused.
func TestBodies_ServeSmallOnesWhileFull(t *testing.T) {
	is := is.New(t)
	b, _, _ := newTestBodies(1000)
	var conn interrupted
	for size := int64(1 << 9); size > 0; size /= 2 {
		body := b.Open(10, &conn)
		for body.Resize(body.account.Size()+size) == nil {
		}
	}
	small := b.Open(10, &conn)
	is.NoErr(small.Resize(10))
	is.NoErr(small.Complete())
}

func TestBody_ZeroValueHasNoLimit(t *testing.T) {
	is := is.New(t)
	var body Body
	is.NoErr(body.Resize(1 << 40))
	body.Progress()
	is.NoErr(body.Complete())
	is.True(!body.Evicted())
	body.Close()
}
