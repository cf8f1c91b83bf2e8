// Command revoked is case 7 of the review: the operator takes the keys of the only tenant
// away, together with the tenant, and requests with them still run.
package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"cassialatch.dev/review-two/kit"
)

const (
	revokeBound = 5 * time.Second // revokeMs
	calmTime    = 2 * time.Second // before the keys are taken away
	afterTime   = 9 * time.Second // for which callers go on
	pause       = 100 * time.Millisecond
	deadline    = 4 * time.Second
	secondKey   = "anfqasnmgkcuyj8pjbvk" // of the tenant too
	neverHeld   = "zzzzzzzzzzzzzzzzzzzz" // in no configuration
)

// attempt is a caller's request.
type attempt struct {
	id, gateway, key string
	sent             time.Time
	answer           kit.Answer
}

type scene struct {
	*kit.Record
	fleet  *kit.Fleet
	ledger kit.Ledger

	mu       sync.Mutex
	attempts []attempt
}

func main() { kit.Main("7", run) }

func run(r *kit.Record) (int, error) {
	s := &scene{Record: r}
	c := kit.BaseConfig()
	c.Tenants[0].APIKeys = []string{kit.Key, secondKey}
	var err error
	if s.fleet, err = kit.NewFleet(3, c, nil); err != nil {
		return 0, err
	}
	defer s.fleet.Close()
	for i := range 4 {
		if _, err := s.fleet.AddServer(fmt.Sprintf("i-booking-%d", i), kit.Booking, &s.ledger); err != nil {
			return 0, err
		}
	}
	if err := s.fleet.StartGateways(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range s.fleet.Gateways {
		for _, key := range []string{kit.Key, secondKey, neverHeld} {
			wg.Go(func() { s.call(g, key, stop) })
		}
	}
	time.Sleep(calmTime)
	var acked time.Time
	if kit.Trouble() {
		c.Version++
		c.Tenants = []kit.Tenant{}
		acked = s.fleet.Store.PutJSON("op/config", c)
		s.At(acked, "version %d is acknowledged: it holds no tenant, and neither %s nor %s", c.Version, kit.Key, secondKey)
	}
	time.Sleep(afterTime)
	close(stop)
	wg.Wait()
	return s.judge(acked), nil
}

// call books with a key at a gateway, on a channel that it keeps.
func (s *scene) call(g *kit.Gateway, key string, stop chan struct{}) {
	var c *kit.Conn
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = kit.Dial(g.Frontend); err != nil {
				c = nil
				continue
			}
		}
		a := attempt{id: kit.NewID(), gateway: g.Name, key: key, sent: time.Now()}
		a.answer = c.Send("POST", "/puxa403/2f", a.id, key, "pallet", deadline)
		s.mu.Lock()
		s.attempts = append(s.attempts, a)
		s.mu.Unlock()
		if a.answer.Err != nil || a.answer.Header.Get("Connection") == "close" {
			c.Close()
			c = nil
		}
	}
}

// judge counts the requests that ran with a key that was taken away, and with one that no
// configuration held. acked is when the keys were taken away; zero if they were not.
func (s *scene) judge(acked time.Time) int {
	revoked, unknown := 0, 0
	counts := make(map[string]int)
	for _, a := range s.attempts {
		runs := s.ledger.Of(a.id)
		tenant := "-"
		if len(runs) > 0 {
			tenant = strconv.Quote(runs[0].Get("Cassialatch-Tenant"))
		}
		s.At(a.sent, "request %s to %s with key %s: status %d, runs %d, tenant passed on %s", a.id, a.gateway, a.key, a.answer.Status, len(runs), tenant)
		late := !acked.IsZero() && a.sent.Sub(acked) > revokeBound
		counts[fmt.Sprintf("%s late=%v status %d", a.key, late, a.answer.Status)]++
		switch {
		case len(runs) == 0:
		case a.key == neverHeld:
			unknown++
			s.Printf("ROUTE: request %s ran at %s with a key that no configuration held", a.id, runs[0].Server)
		case late:
			revoked++
			s.Printf("CONFIG: request %s ran at %s, sent %v after its key was taken away", a.id, runs[0].Server, a.sent.Sub(acked).Round(time.Millisecond))
		}
	}
	s.Say("requests by key, time and status: %v", counts)
	s.Say("ran later than revokeMs after their key was taken away: %d; ran with a key that was never held: %d", revoked, unknown)
	if revoked+unknown > 0 {
		return kit.Broken
	}
	return kit.Held
}
