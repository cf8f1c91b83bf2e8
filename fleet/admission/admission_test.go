package admission

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/outcome"
	"github.com/matryer/is"
)

// caller is a call of Acquire in its own goroutine.
type caller struct {
	admitted atomic.Pointer[Slot]
	refused  atomic.Pointer[outcome.Error]
}

func (c *caller) slot() *Slot         { return c.admitted.Load() }
func (c *caller) err() *outcome.Error { return c.refused.Load() }
func (c *caller) decided() bool       { return c.slot() != nil || c.err() != nil }

// startAcquire calls Acquire in a new goroutine of the synctest bubble and waits until the
// call has returned or blocks.
func startAcquire(q *Queue, item Item) *caller {
	c := &caller{}
	go func() {
		slot, err := q.Acquire(context.Background(), item)
		if err != nil {
			c.refused.Store(outcome.From(err))
			return
		}
		c.admitted.Store(slot)
	}()
	synctest.Wait()
	return c
}

// item returns an Item of cost and weight 1 with a queue timeout of one minute.
func item(workspace string, class dynamic.Class) Item {
	return Item{Workspace: workspace, Class: class, Weight: 1, Cost: 1, QueueTimeout: time.Minute}
}

// release releases the slot of c and waits until all goroutines block.
func release(c *caller) {
	c.slot().Release()
	synctest.Wait()
}

func TestQueue_ReservesSlotsForShortClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 4, ShortReserve: 1})
		var long []*caller
		for range 4 {
			long = append(long, startAcquire(q, item("a", dynamic.ClassLong)))
		}
		is.Equal(q.Counts(), Counts{InFlight: 3, Queued: 1, InFlightLong: 3, PeakInFlight: 3})
		short := startAcquire(q, item("a", dynamic.ClassShort))
		is.True(short.slot() != nil)
		release(short)
		is.True(!long[3].decided()) // the reserved slot stays free
		release(long[0])
		is.True(long[3].slot() != nil)
		q.Close(nil)
	})
}

func TestQueue_AdmitsLongClassAtLimitOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Limit: 1, ShortReserve: 2})
		is.New(t).True(startAcquire(q, item("a", dynamic.ClassLong)).slot() != nil)
	})
}

func TestQueue_AdmitsAgedLongRequestBelowFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2, ShortReserve: 1, AgeAfter: time.Second})
		running := []*caller{startAcquire(q, item("a", dynamic.ClassShort)), startAcquire(q, item("a", dynamic.ClassShort))}
		long := startAcquire(q, item("b", dynamic.ClassLong))
		waiting := []*caller{startAcquire(q, item("a", dynamic.ClassShort)), startAcquire(q, item("a", dynamic.ClassShort))}
		release(running[0])
		is.True(waiting[0].slot() != nil && !long.decided()) // not aged yet
		time.Sleep(time.Second)
		release(running[1])
		is.True(long.slot() != nil && !waiting[1].decided())
		q.Close(nil)
		synctest.Wait()
		is.Equal(waiting[1].err().Outcome, outcome.NotRun)
	})
}

func TestQueue_AgesRequestAtHalfItsQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1, AgeAfter: 2 * time.Second})
		running := startAcquire(q, item("a", dynamic.ClassShort))
		shortTimeout := item("b", dynamic.ClassLong)
		shortTimeout.QueueTimeout = 2 * time.Second
		long := startAcquire(q, shortTimeout)
		startAcquire(q, item("a", dynamic.ClassShort))
		time.Sleep(time.Second)
		release(running)
		is.True(long.slot() != nil)
		q.Close(nil)
		synctest.Wait()
	})
}

func TestQueue_AgedLongRequestAtFloorWaitsForShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2, AgeAfter: time.Second})
		startAcquire(q, item("a", dynamic.ClassLong))
		running := startAcquire(q, item("a", dynamic.ClassShort))
		long := startAcquire(q, item("a", dynamic.ClassLong))
		time.Sleep(time.Second)
		short := startAcquire(q, item("a", dynamic.ClassShort))
		release(running)
		is.True(short.slot() != nil && !long.decided())
		q.Close(nil)
		synctest.Wait()
	})
}

func TestQueue_SurgeOfOneWorkspaceDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := startAcquire(q, item("surge", dynamic.ClassChat))
		for range 100 {
			startAcquire(q, item("surge", dynamic.ClassChat))
		}
		other := startAcquire(q, item("small", dynamic.ClassChat))
		release(running)
		is.True(other.slot() != nil)
		q.Close(nil)
		synctest.Wait()
	})
}

func TestQueue_IdleWorkspaceEarnsNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := startAcquire(q, item("busy", dynamic.ClassChat))
		for range 20 {
			next := startAcquire(q, item("busy", dynamic.ClassChat))
			release(running)
			running = next
		}
		busy := []*caller{startAcquire(q, item("busy", dynamic.ClassChat)), startAcquire(q, item("busy", dynamic.ClassChat))}
		calls := append([]*caller{running}, busy...)
		for range 20 {
			calls = append(calls, startAcquire(q, item("late", dynamic.ClassChat)))
		}
		for range 5 {
			i := slices.IndexFunc(calls, func(c *caller) bool { return c.slot() != nil })
			release(calls[i])
			calls = slices.Delete(calls, i, i+1)
		}
		is.True(busy[0].decided() && busy[1].decided()) // two of the first five admitted
		q.Close(nil)
		synctest.Wait()
	})
}

func TestQueue_BoundsIdleFlowsWhileClassIsBusy(t *testing.T) {
	is := is.New(t)
	q := New(Options{Limit: 2})
	_, err := q.Acquire(t.Context(), item("busy", dynamic.ClassChat))
	is.NoErr(err)
	for i := range 3 * maxIdleFlows {
		slot, err := q.Acquire(t.Context(), item(fmt.Sprint(i), dynamic.ClassChat))
		is.NoErr(err)
		slot.Release()
		is.True(len(q.classes[rankChat].bands[0].byName) <= maxIdleFlows+1)
	}
}

func TestQueue_OrdersByPriorityWithinClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := startAcquire(q, item("a", dynamic.ClassChat))
		low, urgent := item("a", dynamic.ClassChat), item("b", dynamic.ClassChat)
		urgent.Priority = 5
		first, second := startAcquire(q, low), startAcquire(q, urgent)
		release(running)
		is.True(second.slot() != nil && !first.decided())
		release(second)
		is.True(first.slot() != nil)
	})
}

func TestQueue_RefusesRequestWhoseEstimatedWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		c := startAcquire(q, item("a", dynamic.ClassChat))
		time.Sleep(10 * time.Second)
		release(c) // the observed hold time is 10 s
		startAcquire(q, item("a", dynamic.ClassChat))
		shortTimeout := item("a", dynamic.ClassChat)
		shortTimeout.QueueTimeout = 9 * time.Second
		refused := startAcquire(q, shortTimeout)
		is.Equal(refused.err().Code, outcome.CodeOverloaded)
		is.Equal(refused.err().Outcome, outcome.NotRun)
		is.True(refused.err().Replan)
		is.True(refused.err().RetryAfter >= 7500*time.Millisecond && refused.err().RetryAfter <= 12500*time.Millisecond)
		shortDeadline := item("a", dynamic.ClassChat)
		shortDeadline.Deadline = time.Now().Add(9 * time.Second)
		is.Equal(startAcquire(q, shortDeadline).err().Code, outcome.CodeDeadlineExceeded)
		queued := startAcquire(q, item("a", dynamic.ClassChat))
		is.True(!queued.decided())
		q.Close(nil)
		synctest.Wait()
	})
}

func TestQueue_CorrectsEstimateByObservedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := startAcquire(q, item("a", dynamic.ClassChat))
		time.Sleep(time.Second)
		release(running) // the observed hold time is 1 s
		running = startAcquire(q, item("a", dynamic.ClassChat))
		waiting := startAcquire(q, item("a", dynamic.ClassChat)) // estimated wait is 1 s
		time.Sleep(3 * time.Second)
		is.Equal(q.classes[rankChat].estimateError.correct(time.Second), time.Second)
		release(running)
		is.Equal(q.classes[rankChat].estimateError.correct(time.Second), 3*time.Second)
		release(waiting)
	})
}

func TestQueue_RefusesRequestAtQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 0})
		c := startAcquire(q, item("a", dynamic.ClassChat))
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(c.err().Code, outcome.CodeOverloaded)
		is.Equal(q.Counts(), Counts{})
	})
}

func TestQueue_CancelledRequestIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 0})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := q.Acquire(ctx, item("a", dynamic.ClassChat))
		is.Equal(outcome.From(err).Code, outcome.CodeCallerGone)
		is.Equal(outcome.From(err).Outcome, outcome.NotRun)
	})
}

func TestQueue_AdmitsNothingAtZeroCurrentLimitUntilDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		currentLimit := 1
		q := New(Options{Limit: 9, CurrentLimit: func() int { return currentLimit }})
		first := startAcquire(q, item("a", dynamic.ClassChat))
		second := startAcquire(q, item("a", dynamic.ClassChat))
		currentLimit = 0
		release(first)
		is.True(!second.decided())
		currentLimit = 1
		q.Dispatch()
		synctest.Wait()
		is.True(second.slot() != nil)
	})
}

func TestQueue_RunsExclusiveRequestAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2})
		suspect := item("a", dynamic.ClassChat)
		suspect.Exclusive = true
		first := startAcquire(q, item("a", dynamic.ClassChat))
		alone := startAcquire(q, suspect)
		behind := startAcquire(q, item("a", dynamic.ClassShort))
		is.True(!alone.decided() && !behind.decided())
		release(first)
		is.True(alone.slot() != nil && !behind.decided())
		next := startAcquire(q, suspect)
		release(alone)
		is.True(behind.slot() != nil && !next.decided()) // other requests run between two exclusive ones
		release(behind)
		is.True(next.slot() != nil)
	})
}

func TestQueue_ExclusiveRequestThatTimesOutUnblocksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2})
		startAcquire(q, item("a", dynamic.ClassChat))
		suspect := item("a", dynamic.ClassChat)
		suspect.Exclusive, suspect.QueueTimeout = true, time.Second
		alone := startAcquire(q, suspect)
		behind := startAcquire(q, item("a", dynamic.ClassChat))
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(alone.err().Code, outcome.CodeOverloaded)
		is.True(behind.slot() != nil)
	})
}

func TestQueue_ConcurrentCallersLeaveNoState(t *testing.T) {
	is := is.New(t)
	q := New(Options{Limit: 3, ShortReserve: 1})
	classes := []dynamic.Class{dynamic.ClassShort, dynamic.ClassChat, dynamic.ClassLong}
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for range 50 {
				slot, err := q.Acquire(t.Context(), Item{Workspace: fmt.Sprint(i % 5), Class: classes[i%3]})
				if err == nil {
					slot.Release()
					slot.Release()
				}
			}
		})
	}
	wg.Wait()
	counts := q.Counts()
	is.Equal(counts.InFlight+counts.Queued, 0)
	is.True(counts.PeakInFlight <= 3)
	is.True(slices.IndexFunc(q.classes[:], func(c *classQueue) bool { return len(c.bands) > 0 }) < 0)
}
