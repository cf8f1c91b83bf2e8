// Command late-body-twice is the script of case 2: a runner begins its answer to a
// resumable stream before it has read a long body and reads the rest later. It checks
// that no other runner goes on with the request while the first one still works on it.
package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassialatch.dev/review/kit"
)

const (
	bodyBytes = 1 << 20 // a quarter of maxBodyBytes
	events    = 8
	shortGap  = 100 * time.Millisecond
	// pause is the gap after the first event: the request was preempted and its prompt
	// is read again. Consumers wait for 3.2 s at the objective of 800 ms.
	pause     = 2500 * time.Millisecond
	readAfter = 2 * time.Second
	deadline  = 12 * time.Second
	requests  = 4
	overlap   = 400 * time.Millisecond // that the rule allows
)

// work is a run of a request, from its begin until the runner has noticed that it has
// to stop, or has ended it.
type work struct {
	runner     string
	start, end time.Time
}

type ledger struct {
	mu   sync.Mutex
	runs map[string][]*work
}

// begin adds a run and returns its number.
func (l *ledger) begin(id, runner string) (int, *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &work{runner: runner, start: time.Now()}
	l.runs[id] = append(l.runs[id], w)
	return len(l.runs[id]), w
}

func (l *ledger) end(w *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.end = time.Now()
}

func main() { kit.Main(run) }

func run(rec *kit.Record, trouble bool) (int, error) {
	site, err := kit.NewSite()
	if err != nil {
		return 0, err
	}
	defer site.Close()
	site.PutConfig(7, kit.Route{Name: "r-essay", Host: kit.Host, PathPrefix: "/essay/", Type: "streaming", TimeoutMS: 12000, GoalMS: 800, Service: "klang", MaxAttempts: 2, Sticky: true, Resumable: true, GapMS: 400})
	l := &ledger{runs: make(map[string][]*work)}
	for i := 1; i <= 3; i++ {
		_, err := site.StartRunner(i, "klang", func(c *kit.Conn, req *http.Request) bool {
			return serve(rec, l, trouble, c, req)
		})
		if err != nil {
			return 0, err
		}
	}
	gateways, err := site.StartGateways(3)
	if err != nil {
		return 0, err
	}
	time.Sleep(kit.Contact + time.Second)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			g := gateways[i%len(gateways)]
			ch, err := kit.Connect(g.Frontend)
			if err != nil {
				rec.Printf("no channel to gateway %d: %v", g.N, err)
				return
			}
			defer ch.Close()
			id := kit.NewID()
			rec.Printf("request %s with a body of %d bytes sent to gateway %d", id, bodyBytes, g.N)
			a := ch.Call("POST", "/essay/2f", id, deadline, make([]byte, bodyBytes), "")
			rec.Printf("request %s: %v", id, a)
		})
	}
	wg.Wait()
	time.Sleep(pause)
	return judge(rec, l), nil
}

func serve(rec *kit.Record, l *ledger, trouble bool, c *kit.Conn, req *http.Request) bool {
	number, w := l.begin(req.Header.Get("Cassialatch-Attempt-Id"), c.Runner.ID)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	s := kit.Stream{From: from, Events: events, OnEnd: func(bool, error) { l.end(w) }}
	s.Gap = func(n int) time.Duration {
		if n == 1 {
			return pause
		}
		return shortGap
	}
	if trouble && number == 1 {
		s.ReadAfter = readAfter
	}
	return c.ServeStream(rec, req, s)
}

// judge returns whether a request went on at another runner while the one before still
// worked on it.
func judge(rec *kit.Record, l *ledger) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	code := kit.ExitHeld
	for id, runs := range l.runs {
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			both := before.end.Sub(next.start)
			rec.Printf("request %s: runner %s still worked on it %d ms after runner %s had begun", id, before.runner, both.Milliseconds(), next.runner)
			if both > overlap {
				code = kit.ExitBroken
			}
		}
	}
	return code
}
