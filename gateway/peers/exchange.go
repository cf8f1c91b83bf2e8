package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/serverstate"
)

// minRoundGap is the minimum time between two gossip rounds.
const minRoundGap = 8 * time.Millisecond

// Fetcher fetches the state of a peer.
type Fetcher interface {
	// Fetch starts to fetch the state of the peer at the given IP address. It
	// does not block.
	Fetch(ctx context.Context, ip string)
}

// Exchange sends and receives the datagrams of this daemon. What it receives goes
// to the tables and the catalog that Listen was given. Its methods are safe for
// concurrent use.
type Exchange struct {
	table      *Table
	conn       *net.UDPConn
	catalog    *catalog.Catalog
	loads      *load.Table
	quarantine *quarantine.Table
	cacheIndex *cacheindex.Index
	servers    *serverstate.Table // nil: reports on servers are neither sent nor used
	fetcher    Fetcher
	ownState   func() State
	// OnReject, if not nil, is called for each datagram that no daemon has sent. It
	// must be set before Run.
	OnReject func(ip string, err error)

	incarnation uint64 // random, so that a restarted daemon has a new one
	port        int
	trigger     chan struct{} // has capacity 1, which merges pending triggers
}

// Listen opens the UDP socket at the address and returns an exchange that does
// nothing before Run is called. All daemons use the same port. The ownState function
// returns the state that this daemon reports; it must be safe for concurrent use.
func Listen(addr *net.UDPAddr, t *Table, loads *load.Table, q *quarantine.Table, x *cacheindex.Index, f Fetcher, ownState func() State) (*Exchange, error) {
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		table:       t,
		conn:        conn,
		catalog:     t.catalog,
		loads:       loads,
		quarantine:  q,
		cacheIndex:  x,
		fetcher:     f,
		ownState:    ownState,
		incarnation: rand.Uint64(),
		port:        addr.Port,
		trigger:     make(chan struct{}, 1),
	}, nil
}

// ShareServerState makes the exchange send and receive the reports of the table. It must
// be called before Run.
func (e *Exchange) ShareServerState(t *serverstate.Table) {
	e.servers = t
	e.incarnation = e.incarnation&^formatMask | formatReports
}

// Run exchanges datagrams until the context ends. It then closes the socket.
func (e *Exchange) Run(ctx context.Context) {
	go e.receive(ctx)
	defer e.conn.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastRound time.Time
	for {
		changed := e.catalog.Changed()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-changed: // send a changed state at once
		case <-e.trigger:
		}
		time.Sleep(minRoundGap - time.Since(lastRound)) // returns at once if it has passed
		lastRound = time.Now()
		e.send()
		e.loads.Expire()
		timer.Reset(e.table.Interval())
	}
}

// Trigger starts a gossip round without waiting for the interval to pass. It does
// not block; triggers before the round starts are merged.
func (e *Exchange) Trigger() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// send starts a gossip round: it sends this daemon's message to the targets.
//
// The targets are selected before the message is composed: the recipient takes the
// echo for a time before the age of the confirmation was determined, and the VM may
// be suspended between the two.
func (e *Exchange) send() {
	targets := e.table.targets()
	m := e.message()
	m.Reply = e.table.LargeFleet() || e.table.Isolated()
	body := encode(m)
	for i := range targets {
		e.write(targets[i], bodyFor(&targets[i], m, body))
	}
}

// reply sends this daemon's message to the peer that asked for it.
func (e *Exchange) reply(ip string) {
	to := e.table.target(ip) // before the message, as in send
	m := e.message()
	e.write(to, bodyFor(&to, m, encode(m)))
}

// bodyFor returns what to send of a message, of which body is the encoding, to a peer: all
// of it, or no reports on servers if the peer's build would reject them.
func bodyFor(to *target, m *Message, body []byte) []byte {
	if len(m.ServerReports) == 0 || to.acceptsReports() {
		return body
	}
	return encodeItem(m)
}

// encode returns the CBOR encoding of a message.
func encode(m *Message) []byte {
	body := encodeItem(m)
	if len(m.ServerReports) == 0 {
		return body
	}
	return append(body, encodeItem(m.ServerReports)...)
}

// encodeItem returns the CBOR encoding of a message without its reports, or of these.
func encodeItem(v any) []byte {
	item, err := cbor.Marshal(v)
	if err != nil {
		panic("peers: message has no CBOR encoding: " + err.Error()) // can't happen: all field types can be encoded
	}
	return item
}

// write sends a datagram with the encoded message to a peer.
func (e *Exchange) write(to target, body []byte) {
	h := header{incarnation: e.incarnation, sentAt: e.table.clock(), echoIncarnation: to.incarnation, echo: to.echo}
	datagram := append(h.append(make([]byte, 0, headerBytes+len(body))), body...)
	// Delivery is best effort. A peer that receives no datagrams for a while no
	// longer counts this daemon as alive.
	_, _ = e.conn.WriteToUDP(datagram, &net.UDPAddr{IP: net.ParseIP(to.ip), Port: e.port})
}

// message returns a message with the current state of this daemon and its tables.
func (e *Exchange) message() *Message {
	revision, hash, age, confirmed := e.catalog.Confirmation()
	large := e.table.LargeFleet()
	m := &Message{
		State:           e.ownState(),
		Revision:        revision,
		Hash:            hash,
		AgeMS:           -1,
		InFlight:        e.localInFlight(),
		CrashNews:       e.quarantine.News(),
		CacheUpdates:    e.cacheIndex.NextEntries(cacheindex.Recipients{Subset: large, NewPeer: e.table.hasNewPeer()}),
		Relayed:         e.table.relayedPeers(),
		RelayedInFlight: large,
	}
	m.State.StoreReachable = e.table.canReadStore()
	m.State.Zone = e.table.zone
	if e.servers != nil {
		m.ServerReports = e.servers.News()
	}
	if confirmed {
		m.AgeMS = age.Milliseconds() + 1
	}
	return m
}

// receive handles datagrams until the socket is closed.
func (e *Exchange) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := e.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example because an earlier datagram was refused
		}
		e.handle(ctx, from.IP.String(), buf[:n])
	}
}

// decode decodes a datagram. Errors are of type *MessageError.
func decode(b []byte) (header, *Message, error) {
	h, ok := parseHeader(b)
	if !ok {
		return h, nil, &MessageError{Cause: errTooShort}
	}
	var m Message
	rest, err := cbor.UnmarshalFirst(b[headerBytes:], &m)
	if err != nil {
		return h, nil, &MessageError{Cause: err}
	}
	if len(rest) > 0 {
		if err := cbor.Unmarshal(rest, &m.ServerReports); err != nil {
			return h, nil, &MessageError{Field: fieldServerReports, Cause: err}
		}
	}
	return h, &m, m.check()
}

// handle processes a datagram from the given IP address. Datagrams that no daemon has
// sent are reported to OnReject and otherwise ignored.
func (e *Exchange) handle(ctx context.Context, ip string, b []byte) {
	h, m, err := decode(b)
	if err != nil {
		if e.OnReject != nil {
			e.OnReject(ip, err)
		}
		return
	}
	if e.table.recordMessage(ip, h, m) {
		e.setCounts(ip, m)
	}
	e.cacheIndex.Merge(m.CacheUpdates, e.table.LargeFleet())
	e.quarantine.Merge(&m.CrashNews)
	if e.servers != nil {
		e.servers.Merge(m.ServerReports)
	}
	e.syncCatalog(ctx, ip, h, m)
	if m.Reply {
		e.reply(ip)
	}
}

// setCounts replaces the counts of a daemon by those of its latest message, and
// those of the daemons that it relays if they are newer.
func (e *Exchange) setCounts(ip string, m *Message) {
	e.loads.SetPeer(ip, inFlightByServer(m.InFlight))
	newer := e.table.recordRelayed(m.Relayed)
	if !m.RelayedInFlight {
		return
	}
	for _, o := range newer {
		e.loads.SetPeer(o.IP, inFlightByServer(o.InFlight))
	}
}

// syncCatalog applies a peer's confirmation to the catalog, or fetches the peer's
// state if it is newer.
func (e *Exchange) syncCatalog(ctx context.Context, ip string, h header, m *Message) {
	if m.AgeMS < 0 {
		return
	}
	if h.echoIncarnation == e.incarnation && h.echo != 0 {
		at := h.echo.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		if e.catalog.Confirm(m.Revision, m.Hash, at) {
			return
		}
	}
	if view := e.catalog.View(); m.Revision > view.Revision && m.Hash != view.Hash {
		e.fetcher.Fetch(ctx, ip)
	}
}

// localInFlight returns this daemon's in-flight requests by backend server.
func (e *Exchange) localInFlight() []InFlight {
	own := e.loads.Own()
	work := make([]InFlight, 0, len(own))
	for tag, w := range own {
		work = append(work, InFlight{Server: tag, Requests: w.Requests, Tokens: w.Tokens})
	}
	return work
}

// inFlightByServer converts a peer's in-flight requests to a map by backend server
// tag.
func inFlightByServer(list []InFlight) map[uint32]load.Work {
	counts := make(map[uint32]load.Work, len(list))
	for _, w := range list {
		counts[w.Server] = load.Work{Requests: w.Requests, Tokens: w.Tokens}
	}
	return counts
}
