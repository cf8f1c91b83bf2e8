package peers

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/suspect"
	"cassialatch.dev/gateway/warm"
)

// header precedes the message of each datagram. A receiver dates what the
// sender knows by the stamp of its own that the sender echoes, so no
// confirmation seems younger than it is, however long a datagram was on its
// way.
type header struct {
	incarnation uint64 // of the sender
	stamp       boottime.Instant
	echoOf      uint64           // the receiver's incarnation
	echo        boottime.Instant // the receiver's stamp that was heard last
}

const headerBytes = 32

func (h header) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, h.incarnation)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.stamp))
	b = binary.LittleEndian.AppendUint64(b, h.echoOf)
	return binary.LittleEndian.AppendUint64(b, uint64(h.echo))
}

func parseHeader(b []byte) (header, bool) {
	if len(b) < headerBytes {
		return header{}, false
	}
	return header{
		incarnation: binary.LittleEndian.Uint64(b),
		stamp:       boottime.Instant(binary.LittleEndian.Uint64(b[8:])),
		echoOf:      binary.LittleEndian.Uint64(b[16:]),
		echo:        boottime.Instant(binary.LittleEndian.Uint64(b[24:])),
	}, true
}

// Status is what the daemon says of itself.
type Status struct {
	Ready   bool
	Leaving bool
	Settled bool
}

// Fetcher gets a newer state from a peer.
type Fetcher interface {
	Fetch(ctx context.Context, ip string, revision int64)
}

// Exchange sends and receives datagrams.
type Exchange struct {
	table    *Table
	conn     *net.UDPConn
	catalog  *catalog.Catalog
	loads    *load.Table
	suspects *suspect.Table
	warm     *warm.Index
	fetcher  Fetcher
	status   func() Status

	incarnation uint64
	port        int
	round       int
	urgent      chan struct{}
}

// Listen opens the socket at the address. All daemons use the same port.
func Listen(addr *net.UDPAddr, t *Table, loads *load.Table, s *suspect.Table, w *warm.Index, f Fetcher, status func() Status) (*Exchange, error) {
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		table:       t,
		conn:        conn,
		catalog:     t.catalog,
		loads:       loads,
		suspects:    s,
		warm:        w,
		fetcher:     f,
		status:      status,
		incarnation: rand.Uint64(),
		port:        addr.Port,
		urgent:      make(chan struct{}, 1),
	}, nil
}

// Run exchanges datagrams until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	go e.receive(ctx)
	defer e.conn.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := e.catalog.Changed()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-changed: // news are told at once
		case <-e.urgent:
		}
		e.send()
		e.loads.Expire()
		timer.Reset(e.table.Interval())
		time.Sleep(e.table.gap())
	}
}

// Hurry has the peers told soon, rather than at the next regular time.
func (e *Exchange) Hurry() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

func (e *Exchange) send() {
	body, err := cbor.Marshal(e.message())
	if err != nil {
		panic("peers: a message has no encoding: " + err.Error()) // its fields all have one
	}
	buf := make([]byte, 0, headerBytes+len(body))
	for _, to := range e.table.targets() {
		h := header{incarnation: e.incarnation, stamp: e.table.clock(), echoOf: to.incarnation, echo: to.stamp}
		buf = append(h.append(buf[:0]), body...)
		addr := &net.UDPAddr{IP: net.ParseIP(to.ip), Port: e.port}
		// A datagram may be lost anyway; a peer that misses several notices.
		_, _ = e.conn.WriteToUDP(buf, addr)
	}
}

func (e *Exchange) message() *Message {
	view := e.catalog.View()
	status := e.status()
	m := &Message{
		Zone:     e.table.self.Zone,
		Capacity: float32(e.table.self.Capacity),
		Ready:    status.Ready,
		Leaving:  status.Leaving,
		Settled:  status.Settled,
		Revision: view.Revision,
		Hash:     view.Hash,
		AgeMS:    -1,
		Alive:    e.table.names(e.round),
		InFlight: e.ownWork(),
		Broken:   e.suspects.Own(),
		Warm:     e.warm.Tell(e.table.peerIsNew()),
	}
	e.table.mu.Lock()
	m.Reading = e.table.reading
	e.table.mu.Unlock()
	if age, ok := e.catalog.Age(); ok {
		m.AgeMS = age.Milliseconds() + 1
	}
	e.round += maxNamed
	return m
}

func (e *Exchange) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := e.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a refusal of an earlier datagram
		}
		e.handle(ctx, from.IP.String(), buf[:n])
	}
}

func (e *Exchange) handle(ctx context.Context, ip string, b []byte) {
	h, ok := parseHeader(b)
	if !ok {
		return
	}
	var m Message
	if cbor.Unmarshal(b[headerBytes:], &m) != nil {
		return // not from a daemon of this fleet
	}
	e.table.heardFrom(ip, h, &m)
	e.loads.SetPeer(ip, peerWork(m.InFlight))
	e.suspects.Told(ip, m.Broken)
	e.warm.Told(m.Warm)
	e.learn(ctx, ip, h, &m)
}

// learn takes over a confirmation, or fetches a state that is newer.
func (e *Exchange) learn(ctx context.Context, ip string, h header, m *Message) {
	if m.AgeMS < 0 {
		return
	}
	if h.echoOf == e.incarnation && h.echo != 0 {
		at := h.echo.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		if e.catalog.Confirm(m.Revision, m.Hash, at) {
			return
		}
	}
	if view := e.catalog.View(); m.Revision > view.Revision && m.Hash != view.Hash {
		e.fetcher.Fetch(ctx, ip, m.Revision)
	}
}

// ownWork returns what this daemon has in flight.
func (e *Exchange) ownWork() []Work {
	own := e.loads.Own()
	work := make([]Work, 0, len(own))
	for tag, w := range own {
		work = append(work, Work{Server: tag, Requests: w.Requests, Tokens: w.Tokens})
	}
	return work
}

// peerWork turns a peer's list into counts.
func peerWork(list []Work) map[uint32]load.Work {
	counts := make(map[uint32]load.Work, len(list))
	for _, w := range list {
		counts[w.Server] = load.Work{Requests: w.Requests, Tokens: w.Tokens}
	}
	return counts
}

// peerIsNew tells whether a peer has started of late and has to learn what
// caches hold.
func (t *Table) peerIsNew() bool {
	return slices.ContainsFunc(t.Alive(), func(p Peer) bool { return !p.Settled })
}
