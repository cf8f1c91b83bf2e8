// Command odd-entry is the script of case 4: another writer leaves an entry with missing
// fields among those of the runners. At its address is a web server that is no runner.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cassialatch.dev/review/kit"
)

const (
	machines  = 9
	runners   = 3
	perSecond = 30
	deadline  = 600 * time.Millisecond
	length    = 60 * time.Second
	oddAfter  = 5 * time.Second
	workTime  = 15 * time.Millisecond
)

func main() { kit.Main(run) }

func run(rec *kit.Record, trouble bool) (int, error) {
	site, err := kit.NewSite()
	if err != nil {
		return 0, err
	}
	defer site.Close()
	site.PutConfig(7, kit.Route{Name: "r-booking", Host: kit.Host, PathPrefix: "/booking/", Type: "unsafe", TimeoutMS: 600, GoalMS: 100, Service: "arkiv", MaxAttempts: 1})
	for i := 1; i <= runners; i++ {
		if _, err := site.StartRunner(i, "arkiv", func(c *kit.Conn, req *http.Request) bool { return serve(rec, c, req) }); err != nil {
			return 0, err
		}
	}
	foreign, err := startWebServer(rec, site.IP(120))
	if err != nil {
		return 0, err
	}
	gateways, err := site.StartGateways(machines)
	if err != nil {
		return 0, err
	}
	time.Sleep(kit.Contact + time.Second)
	if trouble {
		time.AfterFunc(oddAfter, func() {
			entry := map[string]any{"service": "arkiv", "address": foreign, "state": "ready"}
			site.Store.Put("servers/canary", entry)
			rec.Printf("another writer puts servers/canary: %v", entry)
		})
	}
	var sent, served, denied atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		<-tick.C
		wg.Go(func() {
			g := gateways[n%len(gateways)]
			ch, err := kit.Connect(g.Frontend)
			if err != nil {
				rec.Printf("no channel to gateway %d: %v", g.N, err)
				return
			}
			defer ch.Close()
			id := kit.NewID()
			sent.Add(1)
			a := ch.Call(http.MethodPost, "/booking/2f", id, deadline, fmt.Appendf(nil, "booking %d", n), "")
			signed := a.Header.Get("Cassialatch-Response-Signature") != ""
			switch {
			case a.Complete && a.Status == http.StatusOK && signed:
				served.Add(1)
				rec.Printf("request %s to gateway %d: %v, signed", id, g.N, a)
			case a.Complete && a.Status/100 == 4 && a.Status != 408 && a.Status != 421 && a.Status != 429 && !signed:
				denied.Add(1)
				rec.Printf("request %s to gateway %d: %v, no signature, body %q", id, g.N, a, a.Body)
			default:
				rec.Printf("request %s to gateway %d: %v, signature: %v", id, g.N, a, signed)
			}
		})
	}
	wg.Wait()
	limit := 5 + sent.Load()/500
	rec.Printf("%d requests, all allowed by the configuration: %d served, %d ended with a 4xx without a runner's signature; the rule allows %d", sent.Load(), served.Load(), denied.Load(), limit)
	if denied.Load() > limit {
		return kit.ExitBroken, nil
	}
	return kit.ExitHeld, nil
}

// serve runs a request at a runner.
func serve(rec *kit.Record, c *kit.Conn, req *http.Request) bool {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	time.Sleep(workTime)
	id := req.Header.Get("Cassialatch-Attempt-Id")
	rec.Printf("runner %s has run %s", c.Runner.ID, id)
	answer := "done " + id
	_, err := io.WriteString(c, c.Runner.Head(req, 200, fmt.Sprintf("Content-Length: %d\r\n", len(answer)))+answer)
	return err == nil
}

// startWebServer starts a web server that knows none of the paths, and returns its
// address.
func startWebServer(rec *kit.Record, ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		rec.Printf("the web server, which is no runner, gets %s %s with tenant %q and body %q", r.Method, r.URL.Path, r.Header.Get("Cassialatch-Tenant"), body)
		http.NotFound(w, r)
	}))
	return l.Addr().String(), nil
}
