package admission

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"cassialatch.dev/config/dynamic"
	"pgregory.net/rapid"
)

var anyClass = rapid.SampledFrom([]dynamic.Class{dynamic.ClassShort, dynamic.ClassChat, dynamic.ClassLong})

// bubble hides the type *testing.T from rapid, which would otherwise call Deadline. This
// is not allowed in a synctest bubble.
type bubble struct{ *testing.T }

// tick is short because rapid counts the time of the bubble against its own time limit.
const tick = time.Millisecond

// machine applies random operations to a queue and tracks the calls of Acquire.
type machine struct {
	q                   *Queue
	limit, currentLimit int
	calls               []*caller
}

// arrive calls Acquire with a random request.
func (m *machine) arrive(t *rapid.T) {
	m.calls = append(m.calls, startAcquire(m.q, Item{
		Workspace:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Class:        anyClass.Draw(t, "class"),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		Weight:       rapid.IntRange(0, 3).Draw(t, "weight"),
		Cost:         rapid.IntRange(0, 100).Draw(t, "cost"),
		QueueTimeout: time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * tick,
		Exclusive:    rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	}))
}

// running returns the callers that hold a slot.
func (m *machine) running() (running []*caller) {
	for _, c := range m.calls {
		if c.slot() != nil {
			running = append(running, c)
		}
	}
	return running
}

// release releases the slot of a random caller.
func (m *machine) release(t *rapid.T) {
	running := m.running()
	if len(running) == 0 {
		return
	}
	c := rapid.SampledFrom(running).Draw(t, "released")
	release(c)
	m.removeCaller(c)
}

// removeCaller removes a caller from the tracked ones.
func (m *machine) removeCaller(removed *caller) {
	for i, c := range m.calls {
		if c == removed {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
			return
		}
	}
}

// step applies one random operation.
func (m *machine) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		m.arrive(t)
	case 2:
		m.release(t)
	case 3:
		m.limit = rapid.IntRange(0, 6).Draw(t, "limit")
		m.q.SetLimit(m.limit)
	case 4:
		m.currentLimit = rapid.IntRange(0, 6).Draw(t, "currentLimit")
		m.q.Dispatch()
	case 5:
		time.Sleep(time.Duration(rapid.IntRange(1, 5).Draw(t, "ticks")) * tick)
	}
	synctest.Wait()
}

// check compares the queue with the callers that hold slots: counts match, exclusive
// requests run alone, and requests are admitted only below both limits.
func (m *machine) check(t *rapid.T, before []*caller) {
	running, counts := m.running(), m.q.Counts()
	if counts.InFlight != len(running) {
		t.Fatalf("Counts reports %d requests in flight, but %d callers hold slots", counts.InFlight, len(running))
	}
	held := map[*caller]bool{}
	for _, c := range before {
		held[c] = true
	}
	admitted, shared := 0, 0
	for _, c := range running {
		if c.slot().rank != rankShort {
			shared++
		}
		if c.slot().exclusive && len(running) > 1 {
			t.Fatal("an exclusive request runs together with others")
		}
		if !held[c] {
			admitted++
		}
	}
	limit := min(m.limit, m.currentLimit)
	if admitted > 0 && counts.InFlight > limit {
		t.Fatalf("request admitted with %d in flight, limit is %d", counts.InFlight, limit)
	}
	m.checkShort(t, limit, shared)
}

// checkShort checks that no request of class short is queued while a slot is free. It
// skips states with exclusive requests, because these block all others.
func (m *machine) checkShort(t *rapid.T, limit, shared int) {
	m.q.mu.Lock()
	defer m.q.mu.Unlock()
	exclusive := m.q.exclusive.waiting.Len() > 0 || m.q.exclusive.running
	if !exclusive && m.q.classes[rankShort].queued() > 0 && m.q.inFlight < limit {
		t.Fatalf("short request is queued with %d in flight, limit is %d, %d in flight are not short", m.q.inFlight, limit, shared)
	}
}

func TestQueue_InvariantsUnderRandomOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			m := &machine{limit: 3, currentLimit: 3}
			m.q = New(Options{
				Limit:        m.limit,
				ShortReserve: rapid.IntRange(0, 3).Draw(t, "reserve"),
				AgeAfter:     5 * tick,
				CurrentLimit: func() int { return m.currentLimit },
			})
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				before := m.running()
				m.step(t)
				m.check(t, before)
			}
			m.finish(t)
		})
	})
}

// finish waits until all queue timeouts have passed and checks that Acquire has returned
// for every caller and that the queue is empty.
func (m *machine) finish(t *rapid.T) {
	time.Sleep(100 * tick)
	synctest.Wait()
	for _, c := range m.calls {
		if !c.decided() {
			t.Fatal("Acquire has not returned for a caller")
		}
		if c.slot() != nil {
			release(c)
		}
	}
	if counts := m.q.Counts(); counts.InFlight != 0 || counts.Queued != 0 {
		t.Fatalf("counts after all requests have ended: %+v", counts)
	}
}

// Checks the fairness bound of start-time fair queueing: while two workspaces both have
// queued requests, the virtual cost served to them differs by at most that of one largest
// request of each.
func TestQueue_SharesSlotsByWorkspaceWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			q := New(Options{Limit: 1})
			blocker := startAcquire(q, item("blocker", dynamic.ClassChat))
			const each = 30
			weights := [2]int{rapid.IntRange(1, 5).Draw(t, "w0"), rapid.IntRange(1, 5).Draw(t, "w1")}
			var calls [2][]*caller
			var costs [2][]int
			for i := range 2 * each {
				ws := i % 2
				cost := rapid.IntRange(1, 50).Draw(t, "cost")
				costs[ws] = append(costs[ws], cost)
				calls[ws] = append(calls[ws], startAcquire(q, Item{
					Workspace: fmt.Sprint(ws), Class: dynamic.ClassChat, Weight: weights[ws], Cost: cost,
				}))
			}
			bound := 50/float64(weights[0]) + 50/float64(weights[1])
			var next [2]int
			var served [2]float64
			for release(blocker); next[0] < each && next[1] < each; {
				ws := 0
				if calls[1][next[1]].slot() != nil {
					ws = 1
				}
				served[ws] += float64(costs[ws][next[ws]]) / float64(weights[ws])
				if math.Abs(served[0]-served[1]) > bound {
					t.Fatalf("virtual cost served %v, bound %v", served, bound)
				}
				release(calls[ws][next[ws]])
				next[ws]++
			}
			q.Close(nil)
			synctest.Wait()
		})
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	b.Run("free", func(b *testing.B) {
		q := New(Options{Limit: 8})
		b.ReportAllocs()
		for b.Loop() {
			slot, _ := q.Acquire(context.Background(), Item{Workspace: "a", QueueTimeout: time.Minute})
			slot.Release()
		}
	})
	for _, workspaces := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("contended/%d-workspaces", workspaces), func(b *testing.B) {
			q := New(Options{Limit: 8})
			b.ReportAllocs()
			b.SetParallelism(100)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					slot, err := q.Acquire(context.Background(), Item{Workspace: fmt.Sprint(i % workspaces)})
					if err == nil {
						slot.Release()
					}
				}
			})
		})
	}
}
