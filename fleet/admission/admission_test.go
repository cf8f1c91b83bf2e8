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

// caller is one Acquire that runs in its own goroutine.
type caller struct {
	admitted atomic.Pointer[Slot]
	refused  atomic.Pointer[outcome.Error]
}

func (c *caller) slot() *Slot         { return c.admitted.Load() }
func (c *caller) err() *outcome.Error { return c.refused.Load() }
func (c *caller) answered() bool      { return c.slot() != nil || c.err() != nil }

// call starts an Acquire inside a synctest bubble and waits until it blocks.
func call(q *Queue, item Item) *caller {
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

func item(workspace string, class dynamic.Class) Item {
	return Item{Workspace: workspace, Class: class, Weight: 1, Cost: 1, QueueTimeout: time.Minute}
}

func release(c *caller) {
	c.slot().Release()
	synctest.Wait()
}

func TestShortTakesTheReserveWhileLongWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 4, ShortReserve: 1})
		var long []*caller
		for range 4 {
			long = append(long, call(q, item("a", dynamic.ClassLong)))
		}
		is.Equal(q.Counts(), Counts{InFlight: 3, Queued: 1, InFlightLong: 3, PeakInFlight: 3})
		short := call(q, item("a", dynamic.ClassShort))
		is.True(short.slot() != nil)
		release(short)
		is.True(!long[3].answered()) // the reserve stays free
		release(long[0])
		is.True(long[3].slot() != nil)
		q.Close(nil)
	})
}

func TestLimitOfOneStaysOpenToLongWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Limit: 1, ShortReserve: 2})
		is.New(t).True(call(q, item("a", dynamic.ClassLong)).slot() != nil)
	})
}

func TestAgedLongWorkKeepsItsFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2, ShortReserve: 1, AgeAfter: time.Second})
		running := []*caller{call(q, item("a", dynamic.ClassShort)), call(q, item("a", dynamic.ClassShort))}
		long := call(q, item("b", dynamic.ClassLong))
		waiting := []*caller{call(q, item("a", dynamic.ClassShort)), call(q, item("a", dynamic.ClassShort))}
		release(running[0])
		is.True(waiting[0].slot() != nil && !long.answered()) // not aged yet
		time.Sleep(time.Second)
		release(running[1])
		is.True(long.slot() != nil && !waiting[1].answered())
		q.Close(nil)
		synctest.Wait()
		is.Equal(waiting[1].err().Outcome, outcome.NotRun)
	})
}

func TestFloorComesBeforeAShortQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1, AgeAfter: 2 * time.Second})
		running := call(q, item("a", dynamic.ClassShort))
		hasty := item("b", dynamic.ClassLong)
		hasty.QueueTimeout = 2 * time.Second
		long := call(q, hasty)
		call(q, item("a", dynamic.ClassShort))
		time.Sleep(time.Second)
		release(running)
		is.True(long.slot() != nil)
		q.Close(nil)
		synctest.Wait()
	})
}

func TestAgedLongWorkAboveItsFloorWaitsForShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2, AgeAfter: time.Second})
		call(q, item("a", dynamic.ClassLong))
		running := call(q, item("a", dynamic.ClassShort))
		long := call(q, item("a", dynamic.ClassLong))
		time.Sleep(time.Second)
		short := call(q, item("a", dynamic.ClassShort))
		release(running)
		is.True(short.slot() != nil && !long.answered())
		q.Close(nil)
		synctest.Wait()
	})
}

func TestSurgeOfOneWorkspaceDoesNotDelayAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := call(q, item("surge", dynamic.ClassChat))
		for range 100 {
			call(q, item("surge", dynamic.ClassChat))
		}
		other := call(q, item("small", dynamic.ClassChat))
		release(running)
		is.True(other.slot() != nil)
		q.Close(nil)
		synctest.Wait()
	})
}

func TestWorkspaceThatWasIdleHasNoClaimOnThePast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := call(q, item("busy", dynamic.ClassChat))
		for range 20 {
			next := call(q, item("busy", dynamic.ClassChat))
			release(running)
			running = next
		}
		busy := []*caller{call(q, item("busy", dynamic.ClassChat)), call(q, item("busy", dynamic.ClassChat))}
		calls := append([]*caller{running}, busy...)
		for range 20 {
			calls = append(calls, call(q, item("late", dynamic.ClassChat)))
		}
		for range 5 {
			i := slices.IndexFunc(calls, func(c *caller) bool { return c.slot() != nil })
			release(calls[i])
			calls = slices.Delete(calls, i, i+1)
		}
		is.True(busy[0].answered() && busy[1].answered()) // two of the first five
		q.Close(nil)
		synctest.Wait()
	})
}

func TestMemoryOfWorkspacesIsBoundedWhileTheClassIsBusy(t *testing.T) {
	is := is.New(t)
	q := New(Options{Limit: 2})
	_, err := q.Acquire(t.Context(), item("busy", dynamic.ClassChat))
	is.NoErr(err)
	for i := range 3 * idleFlowsKept {
		slot, err := q.Acquire(t.Context(), item(fmt.Sprint(i), dynamic.ClassChat))
		is.NoErr(err)
		slot.Release()
		is.True(len(q.classes[rankChat].bands[0].byName) <= idleFlowsKept+1)
	}
}

func TestPriorityGoesFirstWithinAClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := call(q, item("a", dynamic.ClassChat))
		low, urgent := item("a", dynamic.ClassChat), item("b", dynamic.ClassChat)
		urgent.Priority = 5
		first, second := call(q, low), call(q, urgent)
		release(running)
		is.True(second.slot() != nil && !first.answered())
		release(second)
		is.True(first.slot() != nil)
	})
}

func TestArrivalIsRefusedWhenTheEstimateExceedsItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		c := call(q, item("a", dynamic.ClassChat))
		time.Sleep(10 * time.Second)
		release(c) // ten seconds for each request
		call(q, item("a", dynamic.ClassChat))
		hasty := item("a", dynamic.ClassChat)
		hasty.QueueTimeout = 9 * time.Second
		refused := call(q, hasty)
		is.Equal(refused.err().Code, outcome.CodeOverloaded)
		is.Equal(refused.err().Outcome, outcome.NotRun)
		is.True(refused.err().Replan)
		is.True(refused.err().RetryAfter >= 7500*time.Millisecond && refused.err().RetryAfter <= 12500*time.Millisecond)
		late := item("a", dynamic.ClassChat)
		late.Deadline = time.Now().Add(9 * time.Second)
		is.Equal(call(q, late).err().Code, outcome.CodeDeadlineExceeded)
		patient := call(q, item("a", dynamic.ClassChat))
		is.True(!patient.answered())
		q.Close(nil)
		synctest.Wait()
	})
}

func TestEstimateIsCorrectedByFormerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 1})
		running := call(q, item("a", dynamic.ClassChat))
		time.Sleep(time.Second)
		release(running) // one second for each request
		running = call(q, item("a", dynamic.ClassChat))
		waiting := call(q, item("a", dynamic.ClassChat)) // estimated at one second
		time.Sleep(3 * time.Second)
		is.Equal(q.classes[rankChat].forecast.correct(time.Second), time.Second)
		release(running)
		is.Equal(q.classes[rankChat].forecast.correct(time.Second), 3*time.Second)
		release(waiting)
	})
}

func TestQueueTimeoutAnswersTheWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 0})
		c := call(q, item("a", dynamic.ClassChat))
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(c.err().Code, outcome.CodeOverloaded)
		is.Equal(q.Counts(), Counts{})
	})
}

func TestCallerThatLeavesIsNotRun(t *testing.T) {
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

func TestEndedLeaseAdmitsNothingUntilKicked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lease := 1
		q := New(Options{Limit: 9, CurrentLimit: func() int { return lease }})
		first := call(q, item("a", dynamic.ClassChat))
		second := call(q, item("a", dynamic.ClassChat))
		lease = 0
		release(first)
		is.True(!second.answered())
		lease = 1
		q.Dispatch()
		synctest.Wait()
		is.True(second.slot() != nil)
	})
}

func TestExclusiveRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2})
		suspect := item("a", dynamic.ClassChat)
		suspect.Exclusive = true
		first := call(q, item("a", dynamic.ClassChat))
		alone := call(q, suspect)
		behind := call(q, item("a", dynamic.ClassShort))
		is.True(!alone.answered() && !behind.answered())
		release(first)
		is.True(alone.slot() != nil && !behind.answered())
		next := call(q, suspect)
		release(alone)
		is.True(behind.slot() != nil && !next.answered()) // others go between two of them
		release(behind)
		is.True(next.slot() != nil)
	})
}

func TestExclusiveThatTimesOutUnblocksTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 2})
		call(q, item("a", dynamic.ClassChat))
		suspect := item("a", dynamic.ClassChat)
		suspect.Exclusive, suspect.QueueTimeout = true, time.Second
		alone := call(q, suspect)
		behind := call(q, item("a", dynamic.ClassChat))
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(alone.err().Code, outcome.CodeOverloaded)
		is.True(behind.slot() != nil)
	})
}

func TestConcurrentCallersLeaveNothingBehind(t *testing.T) {
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
