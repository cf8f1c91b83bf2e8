// Command admissiontrial compares the queue of package admission with a
// first-come, first-served queue in front of a simulated backend server that is
// overloaded. The simulation runs faster than real time; the printed figures are
// in simulated time. The figures are trials for decisions about the policy.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/admission"
	"golang.org/x/sync/semaphore"
)

const (
	slots     = 8
	timeScale = 50 // simulated seconds per second of real time
)

// source is a stream of requests of one kind. Its times are simulated time.
type source struct {
	name              string
	item              admission.Item
	requestsPerSecond float64
	serviceTime       time.Duration
	timeout           time.Duration
}

var sources = []source{
	{"short, small", admission.Item{Workspace: "small", Class: dynamic.ClassShort, Cost: 100}, 2, 500 * time.Millisecond, 5 * time.Second},
	{"chat, small", admission.Item{Workspace: "small", Class: dynamic.ClassChat, Cost: 1000}, 0.3, 3 * time.Second, 20 * time.Second},
	{"chat, surge", admission.Item{Workspace: "surge", Class: dynamic.ClassChat, Cost: 1000}, 3, 3 * time.Second, 20 * time.Second},
	{"long, small", admission.Item{Workspace: "small", Class: dynamic.ClassLong, Cost: 8000}, 0.2, 40 * time.Second, 2 * time.Minute},
}

// acquireFunc waits for a slot and returns the function that releases it.
type acquireFunc func(context.Context, source) (release func(), err error)

// arrivalOrder returns an acquireFunc that admits in the order of arrival.
func arrivalOrder() acquireFunc {
	s := semaphore.NewWeighted(slots)
	return func(ctx context.Context, src source) (func(), error) {
		ctx, cancel := context.WithTimeout(ctx, src.timeout/timeScale)
		defer cancel()
		if err := s.Acquire(ctx, 1); err != nil {
			return nil, err
		}
		return func() { s.Release(1) }, nil
	}
}

// admissionQueue returns an acquireFunc that uses an admission.Queue with the given
// number of slots reserved for short requests.
func admissionQueue(reserve int) acquireFunc {
	q := admission.New(admission.Options{Limit: slots, ShortReserve: reserve, AgeAfter: admission.DefaultAgeAfter / timeScale})
	return func(ctx context.Context, src source) (func(), error) {
		item := src.item
		item.QueueTimeout = src.timeout / timeScale
		slot, err := q.Acquire(ctx, item)
		if err != nil {
			return nil, err
		}
		return slot.Release, nil
	}
}

func main() {
	length := flag.Duration("length", 20*time.Second, "real-time `duration` of each run")
	flag.Parse()
	runs := []struct {
		name    string
		acquire acquireFunc
	}{
		{"by arrival", arrivalOrder()},
		{"classes, reserve 0", admissionQueue(0)},
		{"classes, reserve 1", admissionQueue(1)},
		{"classes, reserve 2", admissionQueue(2)},
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "queue\trequests\tserved\trefused at once\tlater\twait p50\tp99")
	for _, r := range runs {
		for i, result := range run(r.acquire, *length) {
			fmt.Fprintf(out, "%s\t%s\t%s\n", r.name, sources[i].name, result)
		}
	}
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}

// result aggregates the requests of one source. It is safe for concurrent use
// while requests run.
type result struct {
	mu            sync.Mutex
	waits         []time.Duration
	refusedAtOnce int // refused within a tenth of the queue timeout
	refusedLater  int
}

// run sends the requests of all sources and returns their results in order.
func run(a acquireFunc, length time.Duration) []*result {
	results := make([]*result, len(sources))
	var wg sync.WaitGroup
	for i, src := range sources {
		results[i] = &result{}
		wg.Go(func() { sendRequests(a, src, results[i], length) })
	}
	wg.Wait()
	return results
}

// sendRequests sends the requests of src at random times for the given real time
// and waits for the last of them.
func sendRequests(a acquireFunc, src source, r *result, length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for start := time.Now(); time.Since(start) < length; {
		time.Sleep(time.Duration(rand.ExpFloat64() / src.requestsPerSecond / timeScale * float64(time.Second)))
		wg.Go(func() { r.request(a, src) })
	}
}

// request sends one request and records its result.
func (r *result) request(a acquireFunc, src source) {
	arrived := time.Now()
	release, err := a(context.Background(), src)
	wait := time.Since(arrived)
	if err == nil {
		time.Sleep(src.serviceTime / timeScale)
		release()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.waits = append(r.waits, wait*timeScale)
	case wait < src.timeout/timeScale/10:
		r.refusedAtOnce++
	default:
		r.refusedLater++
	}
}

// String returns the last columns of the source's row in the table.
func (r *result) String() string {
	if len(r.waits) == 0 {
		return fmt.Sprintf("0\t%d\t%d\t-\t-", r.refusedAtOnce, r.refusedLater)
	}
	slices.Sort(r.waits)
	at := func(q float64) time.Duration {
		return r.waits[int(q*float64(len(r.waits)-1))].Round(100 * time.Millisecond)
	}
	return fmt.Sprintf("%d\t%d\t%d\t%v\t%v", len(r.waits), r.refusedAtOnce, r.refusedLater, at(0.5), at(0.99))
}
