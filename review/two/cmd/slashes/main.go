// Command slashes is case 9 of the review: a new version adds a route for all paths of a
// host, and requests whose path begins with two slashes run with another path.
package main

import (
	"fmt"
	"time"

	"cassialatch.dev/review-two/kit"
)

const (
	applyBound = 2 * time.Second // configApplyMs
	deadline   = 4 * time.Second
	rounds     = 20
)

// paths are what callers ask for. The second is what a client sends that joins a base that
// ends with a slash and a path that begins with one.
var paths = []string{"/orders/17?copy=1", "//orders/17?copy=1"}

func main() { kit.Main("9", run) }

func run(r *kit.Record) (int, error) {
	c := kit.BaseConfig()
	fleet, err := kit.NewFleet(3, c, nil)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	ledger := &kit.Ledger{}
	for i := range 4 {
		if _, err := fleet.AddServer(fmt.Sprintf("i-booking-%d", i), kit.Booking, ledger); err != nil {
			return 0, err
		}
	}
	if err := fleet.StartGateways(); err != nil {
		return 0, err
	}
	if kit.Trouble() {
		c.Version++
		c.Routes = append(c.Routes, kit.Route{Name: "r-rest", Host: kit.Host, PathPrefix: "/", Type: "unsafe", TimeoutMS: 4000, LatencyGoalMS: 300, Priority: 2, Service: kit.Booking, MaxAttempts: 1})
		fleet.Store.PutJSON("op/config", c)
		r.Printf("version %d is acknowledged: it adds a route for all paths of the host", c.Version)
	}
	time.Sleep(applyBound)
	changed, same := 0, 0
	for range rounds {
		for _, g := range fleet.Gateways {
			for _, path := range paths {
				id := kit.NewID()
				a := kit.Once(g.Frontend, "POST", path, id, kit.Key, "pallet", deadline)
				r.Printf("request %s to %s for %s: status %d, %v", id, g.Name, path, a.Status, a.Err)
				for _, run := range ledger.Of(id) {
					r.At(run.At, "%s runs it as %s %s", run.Server, run.Method, run.Target)
					if run.Target == path {
						same++
						continue
					}
					changed++
					r.Printf("UNASKED: request %s was sent for %s and ran for %s", id, path, run.Target)
				}
			}
		}
	}
	r.Say("ran with the path and query that was sent: %d; with another one: %d", same, changed)
	if changed > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
}
