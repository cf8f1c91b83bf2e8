// Command crowd is case 6 of the review: a crowd of requests that are legal in size and
// stop just short of their end makes a gateway exceed the memory of its machine.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cassialatch.dev/review-two/kit"
)

const (
	memoryMB = 284 // of a machine, as in the site file
	// crowdSize is less than the connections that the gateway accepts with 4,100 descriptors.
	crowdSize = 1940
	// prefixBytes is the size of a crowd request's prompt prefix. With it, the head is below
	// maxHeaderBytes of the configuration, 16,384.
	prefixBytes = 15600
	bodyBytes   = 20000 // below maxBodyBytes, 4,194,304
	// waves is the most crowds that come, one after the other. The case ends with the first
	// one that makes the gateway exceed its memory.
	waves     = 8
	calmWaves = 3               // the time of so many passes without the disruption
	openTime  = 2 * time.Second // over which a crowd connects
	stopTime  = time.Second     // for which it stops short of its end
	stayTime  = 6 * time.Second // for which it reads answers

	callers      = 16 // ordinary callers of each gateway
	bookingWork  = 60 * time.Millisecond
	bookingLimit = 4 * time.Second // deadline of a booking
	streamEvents = 12              // of a stream
	eventWork    = 250 * time.Millisecond
	streamLimit  = 12 * time.Second // deadline of a crowd's request
	// Backend servers, and slots and queue of a model server, as in the site file.
	bookingServers, modelServers = 4, 18
	slots, queue                 = 64, 192
	restartDelay                 = 500 * time.Millisecond
	lostBound                    = 3 // LOST: more than three times
)

// booking is an ordinary caller's request.
type booking struct {
	id, gateway string
	sent        time.Time
	answer      kit.Answer
	kept        bool // the channel had carried a request before
}

type scene struct {
	*kit.Record
	fleet  *kit.Fleet
	ledger kit.Ledger

	mu       sync.Mutex
	bookings []booking
	kills    int
}

func main() { kit.Main("6", run) }

func run(r *kit.Record) (int, error) {
	s := &scene{Record: r}
	var err error
	if s.fleet, err = kit.NewFleet(3, kit.BaseConfig(), nil); err != nil {
		return 0, err
	}
	defer s.fleet.Close()
	if err := s.addServers(); err != nil {
		return 0, err
	}
	if err := s.fleet.StartGateways(); err != nil {
		return 0, err
	}
	r.Printf("3 gateways are ready, memoryMb %d, trouble %v", memoryMB, kit.Trouble())
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range s.fleet.Gateways {
		wg.Go(func() { s.watchMemory(g, stop) })
		for range callers {
			wg.Go(func() { s.book(g, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	for wave := 1; wave <= waves && kit.Trouble() && !s.killed(); wave++ {
		s.crowd(wave)
	}
	if !kit.Trouble() {
		time.Sleep(calmWaves * (openTime + stopTime + stayTime))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return s.judge(), nil
}

// killed reports whether a process was killed for its memory.
func (s *scene) killed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kills > 0
}

func (s *scene) addServers() error {
	for i := range bookingServers {
		b, err := s.fleet.AddServer(fmt.Sprintf("i-booking-%d", i), kit.Booking, &s.ledger)
		if err != nil {
			return err
		}
		b.Work = func(srv *kit.Server, w net.Conn, r *kit.Request, id string) bool {
			time.Sleep(bookingWork)
			return srv.Respond(w, r, id)
		}
	}
	for i := range modelServers {
		m, err := s.fleet.AddServer(fmt.Sprintf("i-model-%d", i), kit.Model, &kit.Ledger{})
		if err != nil {
			return err
		}
		m.Slots = slots
		m.Register()
		m.Work = streamer()
	}
	return nil
}

// streamer returns the work of a model server: it runs as many requests as it has slots,
// queues some more and refuses the others.
func streamer() func(*kit.Server, net.Conn, *kit.Request, string) bool {
	running := make(chan struct{}, slots)
	admitted := make(chan struct{}, slots+queue)
	return func(srv *kit.Server, w net.Conn, r *kit.Request, id string) bool {
		select {
		case admitted <- struct{}{}:
		default:
			_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			return err == nil
		}
		defer func() { <-admitted }()
		running <- struct{}{}
		defer func() { <-running }()
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Response-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, srv.ID, id)
		for n := 1; n <= streamEvents && err == nil; n++ {
			time.Sleep(eventWork)
			event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
			_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}

// watchMemory does what the platform does: it kills a process that exceeds the memory of its
// machine, and starts it again.
func (s *scene) watchMemory(g *kit.Gateway, stop chan struct{}) {
	for {
		select {
		case <-stop:
			s.Printf("%s: peak of the resident memory %d MB", g.Name, peakMB(g.PID()))
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := peakMB(g.PID())
		if mb <= memoryMB {
			continue
		}
		s.Say("%s needs %d MB, more than memoryMb %d: killed", g.Name, mb, memoryMB)
		s.mu.Lock()
		s.kills++
		s.mu.Unlock()
		_ = g.Signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := g.Start(); err != nil {
			s.Say("%s does not start: %v", g.Name, err)
			return
		}
	}
}

// peakMB returns the largest resident memory that a process has had.
func peakMB(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// book sends bookings to a gateway, one after the other, on a channel that it keeps.
func (s *scene) book(g *kit.Gateway, stop chan struct{}) {
	var c *kit.Conn
	kept := false
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = kit.Dial(g.Frontend); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			kept = false
		}
		b := booking{id: kit.NewID(), gateway: g.Name, sent: time.Now(), kept: kept}
		b.answer = c.Send("POST", "/puxa403/2f", b.id, kit.Key, "pallet", bookingLimit)
		s.mu.Lock()
		s.bookings = append(s.bookings, b)
		s.mu.Unlock()
		kept = true
		if b.answer.Err != nil || b.answer.Header.Get("Connection") == "close" {
			c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// crowd opens connections to the first gateway. Each sends a request that is legal in size,
// stops short of its last byte, sends that a second later, and reads the answer.
func (s *scene) crowd(wave int) {
	g := s.fleet.Gateways[0]
	finish := make(chan struct{})
	var wg, sent sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]int)
	for i := range crowdSize {
		wg.Add(1)
		sent.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(openTime * time.Duration(i) / crowdSize)
			end := crowdRequest(g.Frontend, sent.Done, finish)
			mu.Lock()
			ends[end]++
			mu.Unlock()
		}()
	}
	sent.Wait()
	s.Printf("wave %d: %d requests have stopped short of their last byte; the gateway's peak is %d MB", wave, crowdSize, peakMB(g.PID()))
	time.Sleep(stopTime)
	close(finish)
	wg.Wait()
	s.Printf("wave %d: ends of the crowd's requests: %v; the gateway's peak is %d MB", wave, ends, peakMB(g.PID()))
}

// crowdRequest sends a request in two parts and returns how it ended.
func crowdRequest(address string, sent func(), finish chan struct{}) string {
	c, err := kit.Dial(address)
	if err != nil {
		sent()
		return "no connection"
	}
	defer c.Close()
	head := kit.Head("POST", "/lohu930/2f", kit.NewID(), kit.Key, streamLimit,
		"Cassialatch-Model: m", "Cassialatch-Token-Usage: 3900,80", "Cassialatch-Prompt-Prefix: "+prefix(), fmt.Sprintf("Content-Length: %d", bodyBytes))
	_ = c.SetDeadline(time.Now().Add(openTime + stopTime + stayTime))
	_, err = io.WriteString(c, head+"\r\n"+strings.Repeat("x", bodyBytes-1))
	sent()
	if err != nil {
		return "closed while it was sent"
	}
	<-finish
	a := c.SendRaw(http.MethodPost, "x", stayTime)
	if a.Err != nil {
		return "no complete answer"
	}
	return strconv.Itoa(a.Status)
}

// prefix returns a prompt prefix of many parts of one token, with IDs in hexadecimal.
func prefix() string {
	var b strings.Builder
	for i := 0; b.Len() < prefixBytes-4; i++ {
		fmt.Fprintf(&b, "%x:1,", i%16)
	}
	return strings.TrimSuffix(b.String(), ",")
}

// judge counts the bookings that were passed on to a server from a kept channel that then
// ended without an answer.
func (s *scene) judge() int {
	lost := 0
	ends := make(map[string]int)
	for _, b := range s.bookings {
		runs := s.ledger.Of(b.id)
		end := strconv.Itoa(b.answer.Status)
		if b.answer.Err != nil {
			end = "no answer"
		}
		ends[b.gateway+" "+end]++
		s.At(b.sent, "booking %s to %s: runs %d, %s, took %v", b.id, b.gateway, len(runs), end, b.answer.Took.Round(time.Millisecond))
		if b.kept && b.answer.Err != nil && len(runs) > 0 && b.answer.Took < bookingLimit {
			lost++
			s.Printf("LOST: booking %s ran at %s, and its kept channel ended without an answer: %v", b.id, runs[0].Server, b.answer.Err)
		}
	}
	s.Say("bookings by gateway and end: %v", ends)
	s.Say("processes killed for their memory: %d; bookings lost: %d (LOST allows %d)", s.kills, lost, lostBound)
	if lost > lostBound {
		return kit.Broken
	}
	return kit.Held
}
