package peers

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
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

// leastGap is the least time between two rounds.
const leastGap = 8 * time.Millisecond

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

// Fetcher gets a newer state from a peer.
type Fetcher interface {
	Fetch(ctx context.Context, ip string)
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
	status   func() State

	incarnation uint64
	port        int
	urgent      chan struct{}
}

// Listen opens the socket at the address. All daemons use the same port.
func Listen(addr *net.UDPAddr, t *Table, loads *load.Table, s *suspect.Table, w *warm.Index, f Fetcher, status func() State) (*Exchange, error) {
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
		time.Sleep(leastGap)
	}
}

// Trigger has the peers told soon, rather than at the next regular time.
func (e *Exchange) Trigger() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

// send starts a round.
func (e *Exchange) send() {
	m := e.message()
	m.Reply = e.table.LargeFleet() || e.table.Isolated()
	body := encode(m)
	for _, to := range e.table.targets() {
		e.write(to, body)
	}
}

func encode(m *Message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic("peers: a message has no encoding: " + err.Error()) // its fields all have one
	}
	return body
}

func (e *Exchange) write(to target, body []byte) {
	h := header{incarnation: e.incarnation, stamp: e.table.clock(), echoOf: to.incarnation, echo: to.stamp}
	datagram := append(h.append(make([]byte, 0, headerBytes+len(body))), body...)
	// A datagram may be lost anyway; a peer that misses several notices.
	_, _ = e.conn.WriteToUDP(datagram, &net.UDPAddr{IP: net.ParseIP(to.ip), Port: e.port})
}

func (e *Exchange) message() *Message {
	revision, hash, age, confirmed := e.catalog.Confirmation()
	large := e.table.LargeFleet()
	m := &Message{
		State:           e.status(),
		Revision:        revision,
		Hash:            hash,
		AgeMS:           -1,
		InFlight:        e.ownWork(),
		CrashCounts:     e.suspects.Own(),
		CacheUpdates:    e.warm.NextEntries(warm.Recipients{Subset: large, NewPeer: e.table.newcomer()}),
		Relayed:         e.table.others(),
		RelayedInFlight: large,
	}
	m.State.StoreReachable = e.table.canRead()
	m.State.Zone = zoneTag(e.table.self.Zone)
	if confirmed {
		m.AgeMS = age.Milliseconds() + 1
	}
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
	for i := range m.Relayed {
		o := &m.Relayed[i]
		if e.table.heardOf(o) && m.RelayedInFlight {
			e.loads.SetPeer(o.IP, peerWork(o.InFlight))
		}
	}
	e.suspects.Merge(ip, m.CrashCounts)
	e.warm.Merge(m.CacheUpdates, e.table.LargeFleet())
	e.learn(ctx, ip, h, &m)
	if m.Reply {
		e.write(e.table.target(ip), encode(e.message()))
	}
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
		e.fetcher.Fetch(ctx, ip)
	}
}

// ownWork returns what this daemon has in flight.
func (e *Exchange) ownWork() []InFlight {
	own := e.loads.Own()
	work := make([]InFlight, 0, len(own))
	for tag, w := range own {
		work = append(work, InFlight{Server: tag, Requests: w.Requests, Tokens: w.Tokens})
	}
	return work
}

// peerWork turns a peer's list into counts.
func peerWork(list []InFlight) map[uint32]load.Work {
	counts := make(map[uint32]load.Work, len(list))
	for _, w := range list {
		counts[w.Server] = load.Work{Requests: w.Requests, Tokens: w.Tokens}
	}
	return counts
}
