// Command outage is case 9 of the review: long after an outage of the store, gateways
// list backend servers again that have left, and send them requests.
package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cassialatch.dev/review-two/kit"
)

const (
	// Gateways and booking servers as in the site file.
	gateways, bookingServers = 9, 4
	callers                  = 10 // of each gateway

	// Two releases of the booking service overlap, again and again. Each replaces a server
	// every second; they are half a second apart.
	released   = 16
	releaseGap = 500 * time.Millisecond
	rollGap    = time.Second

	settleRoll   = 8 * time.Second // after the last release, for the gateways to start again
	calmTime     = 4 * time.Second
	outageTime   = 4500 * time.Millisecond
	settleTime   = 6 * time.Second // after the outage; contactMs is 3 s
	contact      = 3 * time.Second
	drainBound   = 2 * time.Second         // drainMs
	linger       = 1500 * time.Millisecond // how much longer a server that leaves goes on
	bookingWork  = 30 * time.Millisecond
	pause        = 20 * time.Millisecond
	bookingLimit = 4 * time.Second // deadline
)

// rolled are the numbers of the gateways that are stopped and started in turn, a share of
// 0.45 of them. At these addresses the first two read the store in calm times, and the others
// take their place.
var rolled = []int{4, 8, 2, 5}

// booking is a caller's request.
type booking struct {
	id, gateway string
	sent        time.Time
	status      int
}

type scene struct {
	*kit.Record
	fleet  *kit.Fleet
	ledger kit.Ledger

	mu       sync.Mutex
	bookings []booking
	left     map[string]time.Time   // by server: when its leaving was acknowledged
	trouble  map[string][]time.Time // by gateway: its SIGTERMs and starts
}

func main() { kit.Main("9", run) }

func run(r *kit.Record) (int, error) {
	s := &scene{Record: r, left: make(map[string]time.Time), trouble: make(map[string][]time.Time)}
	var err error
	if s.fleet, err = kit.NewFleet(gateways, kit.BaseConfig(), nil); err != nil {
		return 0, err
	}
	defer s.fleet.Close()
	var servers []*kit.Server
	for range bookingServers {
		m, err := s.addServer()
		if err != nil {
			return 0, err
		}
		servers = append(servers, m)
	}
	if err := s.fleet.StartGateways(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range s.fleet.Gateways {
		for range callers {
			wg.Go(func() { s.call(g, stop) })
		}
	}
	time.Sleep(calmTime)
	s.outage()
	wg.Go(s.roll)
	if err := s.release(servers); err != nil {
		return 0, err
	}
	time.Sleep(settleRoll)
	close(stop)
	wg.Wait()
	return s.judge(), nil
}

// addServer starts a booking server.
func (s *scene) addServer() (*kit.Server, error) {
	srv, err := s.fleet.AddServer(fmt.Sprintf("i-booking-%d", len(s.fleet.Servers)), kit.Booking, &s.ledger)
	if err != nil {
		return nil, err
	}
	srv.Work = func(srv *kit.Server, w net.Conn, r *kit.Request, id string) bool {
		time.Sleep(bookingWork)
		return srv.Respond(w, r, id)
	}
	return srv, nil
}

// outage makes the store turn all calls away for a while, and waits until it has been stable
// for longer than contactMs.
func (s *scene) outage() {
	if kit.Trouble() {
		s.fleet.Store.SetBusy(true)
		s.Printf("the store turns all calls away")
	}
	time.Sleep(outageTime)
	s.fleet.Store.SetBusy(false)
	s.Printf("the store serves")
	time.Sleep(settleTime)
}

// roll stops and starts the gateways in turn.
func (s *scene) roll() {
	var wg sync.WaitGroup
	for _, n := range rolled {
		g := s.fleet.Gateways[n-1]
		s.note(g, "SIGTERM")
		_ = g.Signal(syscall.SIGTERM) // it runs
		wg.Go(func() {
			g.Wait()
			if err := g.Start(); err != nil {
				s.Printf("%s does not start: %v", g.Name, err)
				return
			}
			s.note(g, "started")
		})
		time.Sleep(rollGap)
	}
	wg.Wait()
}

// note records that a gateway is not in touch for a while.
func (s *scene) note(g *kit.Gateway, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble[g.Name] = append(s.trouble[g.Name], time.Now())
	s.Printf("%s: %s", g.Name, what)
}

// release replaces servers one after the other: the new one starts first, then the oldest one
// leaves. It serves for drainMs and a little longer, and ends.
func (s *scene) release(servers []*kit.Server) error {
	for range released {
		next, err := s.addServer()
		if err != nil {
			return err
		}
		servers = append(servers, next)
		time.Sleep(releaseGap)
		old := servers[0]
		servers = servers[1:]
		at := old.Leave()
		s.mu.Lock()
		s.left[old.ID] = at
		s.mu.Unlock()
		s.At(at, "%s leaves: its entry is removed", old.ID)
		time.AfterFunc(drainBound+linger, func() {
			old.Close()
			s.Printf("%s has ended", old.ID)
		})
	}
	return nil
}

// call sends bookings, one after the other, each on a new channel.
func (s *scene) call(g *kit.Gateway, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		q := booking{id: kit.NewID(), gateway: g.Name, sent: time.Now()}
		q.status = kit.Once(g.Frontend, "POST", "/puxa403/2f", q.id, kit.Key, "pallet", bookingLimit).Status
		s.mu.Lock()
		s.bookings = append(s.bookings, q)
		s.mu.Unlock()
	}
}

// inTouch reports whether nothing happened to a gateway for contactMs before the time.
func (s *scene) inTouch(gateway string, at time.Time) bool {
	for _, t := range s.trouble[gateway] {
		if !t.After(at) && at.Sub(t) < contact {
			return false
		}
	}
	return !s.stopped(gateway, at)
}

// stopped reports whether the gateway has got a SIGTERM and not been started since.
func (s *scene) stopped(gateway string, at time.Time) bool {
	n := 0
	for _, t := range s.trouble[gateway] {
		if !t.After(at) {
			n++
		}
	}
	return n%2 == 1
}

// judge counts the requests that reached a server later than drainMs after its leaving was
// acknowledged, from gateways in touch.
func (s *scene) judge() int {
	late := 0
	counts := make(map[string]int)
	for _, q := range s.bookings {
		counts[strconv.Itoa(q.status)]++
		for _, run := range s.ledger.Of(q.id) {
			left, ok := s.left[run.Server]
			if !ok || run.At.Before(left) {
				continue
			}
			after := run.At.Sub(left).Round(time.Millisecond)
			s.At(run.At, "request %s reaches %s from %s, %v after its leaving was acknowledged", q.id, run.Server, q.gateway, after)
			if after > drainBound && s.inTouch(q.gateway, run.At) {
				late++
				s.At(run.At, "DRAIN: request %s reaches %s from %s, in touch, %v after its leaving was acknowledged", q.id, run.Server, q.gateway, after)
			}
		}
	}
	s.Say("requests by status: %v", counts)
	s.Say("requests that reached a server later than drainMs after its leaving was acknowledged: %d", late)
	if late > 0 {
		return kit.Broken
	}
	return kit.Held
}
