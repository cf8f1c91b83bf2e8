// Command late-body-lost is the script of case 1: runners begin their answers before
// they have read a long body and read the rest later. It counts the channels that end
// without a complete answer.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cassialatch.dev/review/kit"
)

const (
	bodyBytes = 1 << 20 // a quarter of maxBodyBytes
	events    = 20
	gap       = 200 * time.Millisecond
	readAfter = 2500 * time.Millisecond
	deadline  = 12 * time.Second
	requests  = 6
	maxLost   = 3 // the rule is broken by more than three
)

func main() { kit.Main(run) }

func run(rec *kit.Record, trouble bool) (int, error) {
	site, err := kit.NewSite()
	if err != nil {
		return 0, err
	}
	defer site.Close()
	site.PutConfig(7, kit.Route{Name: "r-notes", Host: kit.Host, PathPrefix: "/notes/", Type: "streaming", TimeoutMS: 12000, GoalMS: 800, Service: "klang", MaxAttempts: 1, Sticky: true, GapMS: 400})
	for i := 1; i <= 3; i++ {
		_, err := site.StartRunner(i, "klang", func(c *kit.Conn, req *http.Request) bool {
			s := kit.Stream{Events: events, Gap: func(int) time.Duration { return gap }}
			if req.ContentLength < bodyBytes {
				s.Events = 2
			} else if trouble {
				s.ReadAfter = readAfter
			}
			return c.ServeStream(rec, req, s)
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
	channels := make([]*kit.Channel, requests)
	for i := range channels {
		if channels[i], err = kit.Connect(gateways[i%len(gateways)].Frontend); err != nil {
			return 0, err
		}
		defer channels[i].Close()
		id := kit.NewID()
		a := channels[i].Call("POST", "/notes/1f", id, deadline, make([]byte, 800), "")
		rec.Printf("short request %s on channel %d, gateway %d: %v", id, i, gateways[i%len(gateways)].N, a)
		if !a.Complete || a.Status != http.StatusOK {
			return 0, fmt.Errorf("short request: %v", a)
		}
	}
	for _, g := range gateways {
		rec.Printf("SIGHUP to gateway %d", g.N)
		if err := g.Signal(syscall.SIGHUP); err != nil {
			return 0, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	var lost atomic.Int32
	var wg sync.WaitGroup
	for i, ch := range channels {
		wg.Go(func() {
			id := kit.NewID()
			rec.Printf("request %s with a body of %d bytes sent on channel %d, gateway %d", id, bodyBytes, i, gateways[i%len(gateways)].N)
			a := ch.Call("POST", "/notes/2f", id, deadline, make([]byte, bodyBytes), "")
			rec.Printf("request %s: %v", id, a)
			if !a.Complete {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	rec.Printf("%d of %d channels ended without a complete answer", lost.Load(), requests)
	if lost.Load() > maxLost {
		return kit.ExitBroken, nil
	}
	return kit.ExitHeld, nil
}
