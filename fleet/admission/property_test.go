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

// bubble hides the concrete type from rapid, which must not ask a test in a
// synctest bubble for its deadline.
type bubble struct{ *testing.T }

// tick is short, since rapid counts the bubble's time against its own bound.
const tick = time.Millisecond

// machine drives one queue by random steps.
type machine struct {
	q            *Queue
	limit, lease int
	calls        []*caller
}

func (m *machine) arrive(t *rapid.T) {
	m.calls = append(m.calls, call(m.q, Item{
		Workspace:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Class:        anyClass.Draw(t, "class"),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		Weight:       rapid.IntRange(0, 3).Draw(t, "weight"),
		Cost:         rapid.IntRange(0, 100).Draw(t, "cost"),
		QueueTimeout: time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * tick,
		Exclusive:    rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	}))
}

func (m *machine) running() (running []*caller) {
	for _, c := range m.calls {
		if c.slot() != nil {
			running = append(running, c)
		}
	}
	return running
}

func (m *machine) release(t *rapid.T) {
	running := m.running()
	if len(running) == 0 {
		return
	}
	c := rapid.SampledFrom(running).Draw(t, "released")
	release(c)
	m.forget(c)
}

func (m *machine) forget(gone *caller) {
	for i, c := range m.calls {
		if c == gone {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
			return
		}
	}
}

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
		m.lease = rapid.IntRange(0, 6).Draw(t, "lease")
		m.q.Dispatch()
	case 5:
		time.Sleep(time.Duration(rapid.IntRange(1, 5).Draw(t, "ticks")) * tick)
	}
	synctest.Wait()
}

// check compares the queue with the callers that hold slots.
func (m *machine) check(t *rapid.T, before []*caller) {
	running, counts := m.running(), m.q.Counts()
	if counts.InFlight != len(running) {
		t.Fatalf("%d in flight, %d callers hold slots", counts.InFlight, len(running))
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
			t.Fatal("an exclusive request does not run alone")
		}
		if !held[c] {
			admitted++
		}
	}
	limit := min(m.limit, m.lease)
	if admitted > 0 && counts.InFlight > limit {
		t.Fatalf("admitted to %d in flight, limit %d", counts.InFlight, limit)
	}
	m.checkShort(t, limit, shared)
}

// checkShort asserts that no short request waits while a reserved slot is
// free. Exclusive requests hold everybody back and are left out.
func (m *machine) checkShort(t *rapid.T, limit, shared int) {
	m.q.mu.Lock()
	defer m.q.mu.Unlock()
	exclusive := m.q.exclusive.waiting.Len() > 0 || m.q.exclusive.running
	if !exclusive && m.q.classes[rankShort].queued() > 0 && m.q.inFlight < limit {
		t.Fatalf("short work waits at %d in flight of %d, %d of them not short", m.q.inFlight, limit, shared)
	}
}

func TestQueueUnderRandomSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			m := &machine{limit: 3, lease: 3}
			m.q = New(Options{
				Limit:        m.limit,
				ShortReserve: rapid.IntRange(0, 3).Draw(t, "reserve"),
				AgeAfter:     5 * tick,
				CurrentLimit: func() int { return m.lease },
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

// finish lets every queue timeout pass and asserts that all were answered.
func (m *machine) finish(t *rapid.T) {
	time.Sleep(100 * tick)
	synctest.Wait()
	for _, c := range m.calls {
		if !c.answered() {
			t.Fatal("a caller was never answered")
		}
		if c.slot() != nil {
			release(c)
		}
	}
	if counts := m.q.Counts(); counts.InFlight != 0 || counts.Queued != 0 {
		t.Fatalf("left behind: %+v", counts)
	}
}

// The bound is that of start-time fair queueing: while both wait, the service
// of two workspaces differs by at most one largest request of each.
func TestBackloggedWorkspacesShareByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			q := New(Options{Limit: 1})
			blocker := call(q, item("blocker", dynamic.ClassChat))
			const each = 30
			weights := [2]int{rapid.IntRange(1, 5).Draw(t, "w0"), rapid.IntRange(1, 5).Draw(t, "w1")}
			var calls [2][]*caller
			var costs [2][]int
			for i := range 2 * each {
				ws := i % 2
				cost := rapid.IntRange(1, 50).Draw(t, "cost")
				costs[ws] = append(costs[ws], cost)
				calls[ws] = append(calls[ws], call(q, Item{
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
					t.Fatalf("service %v, bound %v", served, bound)
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
