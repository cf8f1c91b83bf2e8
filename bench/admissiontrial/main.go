// Command admissiontrial compares the queue of package admission with one that
// goes by arrival, on a fake backend server that is offered more than it can
// do. Times are scaled down; the figures are scaled back. It gives trial figures
// for decisions about the policy.
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
	slots = 8
	scale = 50 // fake seconds in a second
)

// source is a stream of requests of one kind. Times are those of the fakes.
type source struct {
	name    string
	item    admission.Item
	perSec  float64
	hold    time.Duration
	timeout time.Duration
}

var sources = []source{
	{"short, small", admission.Item{Workspace: "small", Class: dynamic.ClassShort, Cost: 100}, 2, 500 * time.Millisecond, 5 * time.Second},
	{"chat, small", admission.Item{Workspace: "small", Class: dynamic.ClassChat, Cost: 1000}, 0.3, 3 * time.Second, 20 * time.Second},
	{"chat, surge", admission.Item{Workspace: "surge", Class: dynamic.ClassChat, Cost: 1000}, 3, 3 * time.Second, 20 * time.Second},
	{"long, small", admission.Item{Workspace: "small", Class: dynamic.ClassLong, Cost: 8000}, 0.2, 40 * time.Second, 2 * time.Minute},
}

// acquire waits for a slot and returns the function that gives it back.
type acquire func(context.Context, source) (release func(), err error)

func byArrival() acquire {
	s := semaphore.NewWeighted(slots)
	return func(ctx context.Context, src source) (func(), error) {
		ctx, cancel := context.WithTimeout(ctx, src.timeout/scale)
		defer cancel()
		if err := s.Acquire(ctx, 1); err != nil {
			return nil, err
		}
		return func() { s.Release(1) }, nil
	}
}

func byQueue(reserve int) acquire {
	q := admission.New(admission.Options{Limit: slots, ShortReserve: reserve, AgeAfter: admission.DefaultAgeAfter / scale})
	return func(ctx context.Context, src source) (func(), error) {
		item := src.item
		item.QueueTimeout = src.timeout / scale
		slot, err := q.Acquire(ctx, item)
		if err != nil {
			return nil, err
		}
		return slot.Release, nil
	}
}

func main() {
	length := flag.Duration("length", 20*time.Second, "time of each run")
	flag.Parse()
	runs := []struct {
		name    string
		acquire acquire
	}{
		{"by arrival", byArrival()},
		{"classes, reserve 0", byQueue(0)},
		{"classes, reserve 1", byQueue(1)},
		{"classes, reserve 2", byQueue(2)},
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

// result counts the requests of one source.
type result struct {
	mu     sync.Mutex
	waits  []time.Duration
	atOnce int
	later  int // refused after a wait
}

func run(a acquire, length time.Duration) []*result {
	results := make([]*result, len(sources))
	var wg sync.WaitGroup
	for i, src := range sources {
		results[i] = &result{}
		wg.Go(func() { offer(a, src, results[i], length) })
	}
	wg.Wait()
	return results
}

// offer sends requests at random times until the run ends.
func offer(a acquire, src source, r *result, length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for start := time.Now(); time.Since(start) < length; {
		time.Sleep(time.Duration(rand.ExpFloat64() / src.perSec / scale * float64(time.Second)))
		wg.Go(func() { r.request(a, src) })
	}
}

func (r *result) request(a acquire, src source) {
	arrived := time.Now()
	release, err := a(context.Background(), src)
	wait := time.Since(arrived)
	if err == nil {
		time.Sleep(src.hold / scale)
		release()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.waits = append(r.waits, wait*scale)
	case wait < src.timeout/scale/10:
		r.atOnce++
	default:
		r.later++
	}
}

// String is the end of a line of the table.
func (r *result) String() string {
	if len(r.waits) == 0 {
		return fmt.Sprintf("0\t%d\t%d\t-\t-", r.atOnce, r.later)
	}
	slices.Sort(r.waits)
	at := func(q float64) time.Duration {
		return r.waits[int(q*float64(len(r.waits)-1))].Round(100 * time.Millisecond)
	}
	return fmt.Sprintf("%d\t%d\t%d\t%v\t%v", len(r.waits), r.atOnce, r.later, at(0.5), at(0.99))
}
