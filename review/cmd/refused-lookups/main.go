// Command refused-lookups is the script of case 5: for a few seconds some runners lose
// answers. It compares, from some seconds later on, how often requests are served on a
// route that was added later and on the first route.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cassialatch.dev/review/kit"
)

const (
	machines  = 9
	runners   = 5
	lossy     = 3   // of the runners: a share of 0.6
	lostShare = 0.4 // of the requests that they run
	lostFor   = 4 * time.Second

	lookups  = 30 // a second
	bookings = 15 // a second
	deadline = 600 * time.Millisecond

	before  = 4 * time.Second // between the new route and the disruption
	settle  = 6 * time.Second // between the end of the disruption and the steady state
	steady  = 40 * time.Second
	minimum = 20   // requests on the later route, from which the rule applies
	quarter = 0.25 // of the share served on the first route
)

// count counts the requests of a route in the steady state.
type count struct{ sent, served, refused atomic.Int64 }

func (c *count) share() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }

// day is the state that runners and consumers share.
type day struct {
	rec    *kit.Record
	losing atomic.Bool
	inDay  atomic.Bool // the steady state
	lost   atomic.Int64
	ran    atomic.Int64
}

func main() { kit.Main(run) }

func run(rec *kit.Record, trouble bool) (int, error) {
	site, err := kit.NewSite()
	if err != nil {
		return 0, err
	}
	defer site.Close()
	d := &day{rec: rec}
	first := kit.Route{Name: "r-booking", Host: kit.Host, PathPrefix: "/booking/", Type: "unsafe", TimeoutMS: 600, GoalMS: 100, Service: "arkiv", MaxAttempts: 1}
	later := kit.Route{Name: "r-lookup", Host: kit.Host, PathPrefix: "/lookup/", Type: "safe", TimeoutMS: 600, GoalMS: 100, Service: "arkiv", MaxAttempts: 2}
	site.PutConfig(7, first)
	for i := 1; i <= runners; i++ {
		loses := i <= lossy
		_, err := site.StartRunner(i, "arkiv", func(c *kit.Conn, req *http.Request) bool {
			return d.serve(c, req, loses)
		})
		if err != nil {
			return 0, err
		}
	}
	gateways, err := site.StartGateways(machines)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var atFirst, atLater count
	wg.Go(func() {
		d.send(stop, gateways, bookings, &atFirst, func(n int) (string, string, []byte) {
			return http.MethodPost, "/booking/2f", fmt.Appendf(nil, "booking %d", n)
		})
	})
	time.Sleep(kit.Contact)
	site.PutConfig(8, first, later)
	rec.Printf("version 8 adds the route %s", later.Name)
	time.Sleep(2 * time.Second) // configApplyMs
	wg.Go(func() {
		d.send(stop, gateways, lookups, &atLater, func(n int) (string, string, []byte) {
			return http.MethodGet, fmt.Sprintf("/lookup/2f?item=%d", n), nil
		})
	})
	time.Sleep(before)
	rec.Printf("%d of %d runners lose answers from now on: %v", lossy, runners, trouble)
	d.losing.Store(trouble)
	time.Sleep(lostFor)
	d.losing.Store(false)
	rec.Printf("no more answers are lost; %d requests ran so far, the answers of %d were lost", d.ran.Load(), d.lost.Load())
	time.Sleep(settle)
	d.inDay.Store(true)
	rec.Printf("the steady state begins")
	time.Sleep(steady)
	close(stop)
	wg.Wait()
	rec.Printf("first route: %d sent, %d served, %d refused with 503", atFirst.sent.Load(), atFirst.served.Load(), atFirst.refused.Load())
	rec.Printf("later route: %d sent, %d served, %d refused with 503", atLater.sent.Load(), atLater.served.Load(), atLater.refused.Load())
	if atFirst.share() < 0.9 {
		return 0, fmt.Errorf("the first route is not served")
	}
	if atLater.sent.Load() >= minimum && atLater.share() < quarter*atFirst.share() {
		return kit.ExitBroken, nil
	}
	return kit.ExitHeld, nil
}

// serve runs a request.
func (d *day) serve(c *kit.Conn, req *http.Request, loses bool) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	id := req.Header.Get("Cassialatch-Attempt-Id")
	time.Sleep(15 * time.Millisecond)
	d.ran.Add(1)
	if loses && d.losing.Load() && rand.Float64() < lostShare {
		d.lost.Add(1)
		d.rec.Printf("runner %s has run %s %s %q, its answer is lost", c.Runner.ID, id, req.RequestURI, body)
		return false
	}
	d.rec.Printf("runner %s has run %s", c.Runner.ID, id)
	answer := "done " + id
	_, err = io.WriteString(c, c.Runner.Head(req, 200, fmt.Sprintf("Content-Length: %d\r\n", len(answer)))+answer)
	return err == nil
}

// send sends requests at a rate until stop is closed, each by a consumer of its own.
// The requests of the steady state are counted.
func (d *day) send(stop chan struct{}, gateways []*kit.Gateway, perSecond int, c *count, request func(n int) (method, path string, body []byte)) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wg.Go(func() {
			g := gateways[n%len(gateways)]
			counted := d.inDay.Load()
			method, path, body := request(n)
			id := kit.NewID()
			ch, err := kit.Connect(g.Frontend)
			if err != nil {
				d.rec.Printf("no channel to gateway %d: %v", g.N, err)
				return
			}
			defer ch.Close()
			a := ch.Call(method, path, id, deadline, body, "")
			d.rec.Printf("request %s %s %s to gateway %d: %v", id, method, path, g.N, a)
			if !counted {
				return
			}
			c.sent.Add(1)
			switch {
			case a.Complete && a.Status == http.StatusOK:
				c.served.Add(1)
			case a.Complete && a.Status == http.StatusServiceUnavailable:
				c.refused.Add(1)
			}
		})
	}
}
