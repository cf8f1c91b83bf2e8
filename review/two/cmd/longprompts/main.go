// Command longprompts is case 8 of the review: backend servers crash while they run requests
// with prompts of many parts, and the gateways answer no request in time any more.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cassialatch.dev/review-two/kit"
)

const (
	// Backend servers as in the site file. crashed is a share of 0.25, cut down.
	bookingServers, modelServers, crashed = 4, 18, 4
	slots                                 = 64

	gateways       = 3
	streamCallers  = 300 // of each gateway
	bookingCallers = 8   // of each gateway
	firstEvent     = 700 * time.Millisecond
	streamEvents   = 4
	eventPause     = 100 * time.Millisecond
	bookingWork    = 60 * time.Millisecond
	streamPause    = 150 * time.Millisecond // between two requests of a caller
	bookingPause   = 40 * time.Millisecond

	streamLimit    = 12 * time.Second // deadline and route's timeout
	bookingLimit   = 4 * time.Second  // deadline
	bookingTimeout = 2 * time.Second  // timeoutMs of the route
	lateness       = 500 * time.Millisecond

	calmTime  = 8 * time.Second
	downTime  = 4 * time.Second
	afterTime = 25 * time.Second
)

// parts is the number of entries of a prompt prefix, each as in the example of the page: 13
// bytes. The head stays below maxHeaderBytes, 16,384. PARTS sets another number.
var parts = 1000

// booking is an ordinary caller's request.
type booking struct {
	id, gateway string
	sent        time.Time
	answer      kit.Answer
}

type scene struct {
	*kit.Record
	fleet  *kit.Fleet
	ledger kit.Ledger

	mu       sync.Mutex
	bookings []booking
	streams  map[string]int // ends of the requests with long prompts
	open     map[*kit.Server]map[net.Conn]bool
}

func main() {
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	kit.Main("8", run)
}

func run(r *kit.Record) (int, error) {
	s := &scene{Record: r, streams: make(map[string]int), open: make(map[*kit.Server]map[net.Conn]bool)}
	c := kit.BaseConfig()
	c.Routes[0].TimeoutMS = int(bookingTimeout.Milliseconds())
	var err error
	if s.fleet, err = kit.NewFleet(gateways, c, nil); err != nil {
		return 0, err
	}
	defer s.fleet.Close()
	models, err := s.addServers()
	if err != nil {
		return 0, err
	}
	if err := s.fleet.StartGateways(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range s.fleet.Gateways {
		for range streamCallers {
			wg.Go(func() { s.chat(g, stop) })
		}
		for range bookingCallers {
			wg.Go(func() { s.book(g, stop) })
		}
	}
	time.Sleep(calmTime)
	crashAt := time.Now()
	if kit.Trouble() {
		for _, m := range models[:crashed] {
			s.crash(m)
		}
	}
	time.Sleep(downTime)
	if kit.Trouble() {
		if err := s.restart(models[:crashed]); err != nil {
			return 0, err
		}
	}
	time.Sleep(afterTime - downTime)
	close(stop)
	wg.Wait()
	return s.judge(crashAt), nil
}

func (s *scene) addServers() (models []*kit.Server, err error) {
	for i := range bookingServers {
		b, err := s.fleet.AddServer(fmt.Sprintf("i-booking-%d", i), kit.Booking, &s.ledger)
		if err != nil {
			return nil, err
		}
		b.Work = func(srv *kit.Server, w net.Conn, r *kit.Request, id string) bool {
			time.Sleep(bookingWork)
			return srv.Respond(w, r, id)
		}
	}
	for i := range modelServers {
		m, err := s.addModel(fmt.Sprintf("i-model-%d", i))
		if err != nil {
			return nil, err
		}
		models = append(models, m)
	}
	return models, nil
}

func (s *scene) addModel(id string) (*kit.Server, error) {
	m, err := s.fleet.AddServer(id, kit.Model, &kit.Ledger{})
	if err != nil {
		return nil, err
	}
	m.Slots, m.Work = slots, s.stream
	m.Register()
	return m, nil
}

// stream is the work of a model server: the prompt takes a while, then the events come.
func (s *scene) stream(srv *kit.Server, w net.Conn, r *kit.Request, id string) bool {
	s.mu.Lock()
	if s.open[srv] == nil {
		s.open[srv] = make(map[net.Conn]bool)
	}
	s.open[srv][w] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open[srv], w)
	}()
	time.Sleep(firstEvent)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Response-Signature: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, srv.ID, id)
	last, _ := strconv.Atoi(r.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventPause)
	}
	if err == nil {
		_, err = fmt.Fprint(w, "0\r\n\r\n")
	}
	return err == nil
}

// crash ends a server as a process that is killed ends: its address refuses connections, and
// those that it has are reset. It sends nothing.
func (s *scene) crash(m *kit.Server) {
	m.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Printf("%s crashes with %d requests", m.ID, len(s.open[m]))
	m.CloseConns()
}

// restart starts new incarnations of servers that have crashed. The entries of the old ones
// have expired after three check-ins, 3.6 s.
func (s *scene) restart(crashed []*kit.Server) error {
	for _, m := range crashed {
		s.fleet.Store.Delete("servers/" + m.ID)
		if _, err := s.addModel(m.ID + "b"); err != nil {
			return err
		}
	}
	s.Printf("%d servers are back under new ids", len(crashed))
	return nil
}

// chat sends streaming requests with long prompts, one after the other, on a kept channel.
func (s *scene) chat(g *kit.Gateway, stop chan struct{}) {
	prefix := longPrefix()
	var c *kit.Conn
	time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
	for !closed(stop, streamPause) {
		if c = dialed(c, g); c == nil {
			continue
		}
		a := c.Send("POST", "/lohu930/2f", kit.NewID(), kit.Key, "question", streamLimit, "Cassialatch-Model: m",
			fmt.Sprintf("Cassialatch-Token-Usage: %d,80", 9*parts), "Cassialatch-Prompt-Prefix: "+prefix)
		s.mu.Lock()
		s.streams[end(a)]++
		s.mu.Unlock()
		c = kept(c, a)
	}
}

// longPrefix returns the prompt prefix of a session.
func longPrefix() string {
	list := make([]string, parts)
	for i := range list {
		list[i] = fmt.Sprintf("%08x:%d", rand.Uint32(), 100+rand.IntN(900))
	}
	return strings.Join(list, ",")
}

// book sends bookings, one after the other, on a kept channel.
func (s *scene) book(g *kit.Gateway, stop chan struct{}) {
	var c *kit.Conn
	for !closed(stop, bookingPause) {
		if c = dialed(c, g); c == nil {
			continue
		}
		b := booking{id: kit.NewID(), gateway: g.Name, sent: time.Now()}
		_ = c.SetDeadline(b.sent.Add(bookingLimit))
		b.answer = c.SendRaw("POST", kit.Head("POST", "/puxa403/2f", b.id, kit.Key, bookingLimit)+"Content-Length: 6\r\n\r\npallet", bookingLimit)
		s.mu.Lock()
		s.bookings = append(s.bookings, b)
		s.mu.Unlock()
		c = kept(c, b.answer)
	}
}

// closed waits for a while and reports whether the channel was closed meanwhile.
func closed(stop chan struct{}, pause time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(pause):
		return false
	}
}

// dialed returns the open channel, or a new one; nil if there is none.
func dialed(c *kit.Conn, g *kit.Gateway) *kit.Conn {
	if c != nil {
		return c
	}
	c, err := kit.Dial(g.Frontend)
	if err != nil {
		return nil
	}
	return c
}

// kept returns the channel if it may be used again, else nil.
func kept(c *kit.Conn, a kit.Answer) *kit.Conn {
	if a.Err == nil && a.Header.Get("Connection") != "close" {
		return c
	}
	c.Close()
	return nil
}

// end returns how a request ended.
func end(a kit.Answer) string {
	if a.Err != nil {
		return "no answer"
	}
	return strconv.Itoa(a.Status)
}

// judge counts the bookings that were unanswered at their route's timeout, and those of them
// that had no answer half a second later.
func (s *scene) judge(crashAt time.Time) int {
	unanswered, late := 0, 0
	counts := make(map[string]int)
	var worst time.Duration
	for _, b := range s.bookings {
		s.At(b.sent, "booking %s to %s: %s, took %v", b.id, b.gateway, end(b.answer), b.answer.Took.Round(time.Millisecond))
		when := "before"
		if b.sent.After(crashAt) {
			when = "after"
		}
		counts[when+" "+end(b.answer)]++
		worst = max(worst, b.answer.Took)
		if b.answer.Took > bookingTimeout {
			unanswered++
		}
		if b.answer.Took > bookingTimeout+lateness {
			late++
		}
	}
	s.Say("requests with long prompts by end: %v", s.streams)
	s.Say("bookings before and after the crash by end: %v; the longest took %v", counts, worst.Round(time.Millisecond))
	s.Say("bookings unanswered at timeoutMs: %d; of these without an answer half a second later: %d", unanswered, late)
	if 2*late > unanswered {
		return kit.Broken
	}
	return kit.Held
}
