package clientlimit

import (
	"net"
	"sync"
	"time"

	"cassialatch.dev/gateway/memory"
)

const (
	// freeHeadBytes is the part of the charge of a request head that is not counted, so
	// that ordinary heads are read also when the budget is full. The number of connections
	// limits its total.
	freeHeadBytes = 16 << 10
	// maxEvicting is the number of connections that may be evicted and not closed yet. Each
	// of them is open beside the permitted ones.
	maxEvicting = 32
	// evictWait is how long a new connection waits if there are more.
	evictWait = 100 * time.Millisecond
)

// Options configures a Table.
type Options struct {
	MaxConns int              // open connections; 0: no limit
	Heads    *memory.Budget   // memory for request heads; may be shared by tables
	Now      func() time.Time // clock
	OnClose  func(Cause)      // called for each connection that a limit closes; must be safe for concurrent use
}

// Table holds the open connections of an address. At the limit on their number, a new
// connection takes the place of an existing one: first of one whose last response was sent
// and that is closed soon, then of one that has waited for the rest of a request for at least
// 500 ms, then of one that has been idle for as long, then of one that has waited or been
// idle for a shorter time, and last of one whose caller has not read its response for a
// second; of these, the one with the longest time. Any other connection whose request was
// read is not evicted; if there are only such, the new one is closed.
type Table struct {
	options Options
	closed  chan struct{} // receives a value when an evicted connection was closed

	mu       sync.Mutex
	conns    []*Conn // in no order
	evicting int     // connections that are evicted and not closed yet
}

// NewTable returns a table without connections.
func NewTable(o Options) *Table {
	return &Table{options: o, closed: make(chan struct{}, 1)}
}

// Open returns the number of open connections.
func (t *Table) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Listener returns a listener whose connections are in the table. They are of type *Conn.
// ConnState, ConnContext and Handler must be used by the server that accepts them.
func (t *Table) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, table: t}
}

type listener struct {
	net.Listener
	table *Table
}

// Accept implements net.Listener. It closes new connections that have no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.table.add(inner); c != nil {
			return c, nil
		}
		inner.Close()
		l.table.options.OnClose(CauseConnections)
	}
}

// add returns a new connection that is in the table, or nil if there is no room for it.
func (t *Table) add(inner net.Conn) *Conn {
	t.awaitEvicted()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if !t.makeRoom(now, t.options.MaxConns-1) {
		return nil
	}
	c := &Conn{
		Conn:          inner,
		table:         t,
		index:         len(t.conns),
		since:         now,
		head:          t.options.Heads.Open("", freeHeadBytes),
		deadlineCalls: notCounted,
	}
	t.conns = append(t.conns, c)
	return c
}

// makeRoom evicts connections until at most n remain. It returns false if there are more
// that can't be evicted. t.mu must be held.
func (t *Table) makeRoom(now time.Time, n int) bool {
	if t.options.MaxConns <= 0 {
		return true
	}
	for len(t.conns)-t.evicting > n {
		victim := t.victim(now)
		if victim == nil || t.evicting >= maxEvicting {
			return false
		}
		victim.evict()
	}
	return true
}

// trim evicts connections if there are more than permitted. That may be since the request
// of an evicted one was served, or since none could be evicted before. t.mu must be held.
func (t *Table) trim() { t.makeRoom(t.options.Now(), t.options.MaxConns) }

// awaitEvicted waits, but not for long, until few connections are evicted and not closed
// yet. Their goroutines may not have run since, or write a response.
func (t *Table) awaitEvicted() {
	if !t.evictingMany() {
		return
	}
	timer := time.NewTimer(evictWait)
	defer timer.Stop()
	for t.evictingMany() {
		select {
		case <-t.closed: // may be an old value
		case <-timer.C:
			return
		}
	}
}

// evictingMany reports whether no more connections may be evicted now.
func (t *Table) evictingMany() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evicting >= maxEvicting
}

// victim returns the connection to evict, nil if there is none. t.mu must be held.
func (t *Table) victim(now time.Time) *Conn {
	var victim *Conn
	best := neverEvicted
	for _, c := range t.conns {
		class := c.class(now)
		if class < best || class == best && victim != nil && c.since.Before(victim.since) {
			victim, best = c, class
		}
	}
	return victim
}

// remove removes a connection that was closed. It may be called more than once.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(c)
}

// removeLocked is remove with t.mu held.
func (t *Table) removeLocked(c *Conn) {
	if c.index < 0 {
		return
	}
	last := t.conns[len(t.conns)-1]
	t.conns[c.index], last.index = last, c.index
	t.conns[len(t.conns)-1] = nil
	t.conns = t.conns[:len(t.conns)-1]
	c.index = -1
	c.head.Close()
	if !c.evicted {
		return
	}
	t.evicting--
	t.trim()
	select {
	case t.closed <- struct{}{}:
	default:
	}
}
