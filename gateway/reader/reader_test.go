package reader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

type fakeStore struct {
	update    Update
	err       error
	decodeErr error
	decoded   int // calls of DecodeConfig
}

func (s *fakeStore) Poll(context.Context) (Update, error) { return s.update, s.err }

func (s *fakeStore) DecodeConfig([]byte) (*route.Config, error) {
	s.decoded++
	if s.decodeErr != nil {
		return nil, s.decodeErr
	}
	return &route.Config{Version: s.update.ConfigRev}, nil
}

type fakeMembership struct {
	rank           int
	majority       bool
	storeReachable bool
}

func (m *fakeMembership) Rank() int                 { return m.rank }
func (m *fakeMembership) SetStoreReachable(ok bool) { m.storeReachable = ok }
func (m *fakeMembership) LargeFleet() bool          { return false }
func (m *fakeMembership) HasMajority() bool         { return m.majority }

type fakeLog struct {
	rejected        int
	rejectedServers []error
}

func (*fakeLog) StoreUnavailable(error, time.Duration) {}
func (*fakeLog) StoreAvailable(time.Duration)          {}
func (l *fakeLog) ConfigRejected(error, int64)         { l.rejected++ }
func (l *fakeLog) ServerRejected(_ string, err error, _ int64) {
	l.rejectedServers = append(l.rejectedServers, err)
}
func (*fakeLog) Adopted(string, int64, int64, int, time.Duration) {}

type fixture struct {
	*Reader
	store   *fakeStore
	members *fakeMembership
	log     *fakeLog
	now     boottime.Instant
}

var errDown = errors.New("down")

// newFixture returns a reader of rank 0 that has not polled yet.
func newFixture() *fixture {
	f := &fixture{store: &fakeStore{}, members: &fakeMembership{majority: true}, log: &fakeLog{}, now: boottime.Instant(time.Hour)}
	clock := func() boottime.Instant { return f.now }
	f.Reader = New(f.store, catalog.New(clock), f.members, clock, f.log)
	return f
}

// publish polls a store that lists servers with the given IDs.
func (f *fixture) publish(revision int64, ids ...string) {
	f.store.err = nil
	f.store.update = Update{Revision: revision, SentAt: f.now, Config: []byte("doc"), ConfigRev: 1}
	for _, id := range ids {
		f.store.update.Servers = append(f.store.update.Servers, catalog.Server{ID: id, Service: "s", Address: addressOf(id)})
	}
	f.poll(context.Background())
}

// addressOf returns the address of a server with a one-letter ID.
func addressOf(id string) string { return fmt.Sprintf("10.0.0.%d:1", id[0]) }

// servers returns the number of servers in the catalog.
func (f *fixture) servers() int { return len(f.catalog.View().Servers) }

// Load pattern: hundreds of daemons, nearly all of them standbys. Guards against waking
// each of them twenty times a second for a poll that can't be due, and against checking
// later than a poll is due.
func TestUntilCheck_StandbysAreWokenOnlyWhenAPollMayBeDue(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.untilCheck(), tick) // no state yet
	f.publish(1, "a")
	is.Equal(f.untilCheck(), tick) // a regular reader
	f.members.rank = regularReaders
	is.Equal(f.untilCheck(), maxTick)
	f.now = f.now.Add(standbyAge - 120*time.Millisecond)
	is.Equal(f.untilCheck(), 120*time.Millisecond)
	f.now = f.now.Add(time.Second)
	is.Equal(f.untilCheck(), tick) // overdue
}

// A regular reader polls at pollInterval. A standby polls only when the state has
// reached the maximum age of its rank without a confirmation from a peer.
func TestDue_StandbyPollsOnlyWithoutConfirmations(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a")
	f.now = f.now.Add(pollInterval)
	is.True(f.due(pollInterval))
	f.members.rank = 5
	is.True(!f.due(pollInterval)) // confirmed by peers until now
	f.now = f.now.Add(maxAge(5, false))
	is.True(f.due(pollInterval)) // no confirmation since
}

// Load pattern: the store is unavailable to all daemons or rejects many of them.
// The regular readers keep polling at pollInterval, the others at retryInterval.
func TestDue_FewDaemonsPollUnavailableStore(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a")
	f.store.err = errDown
	f.now = f.now.Add(3 * time.Second)
	f.poll(context.Background())
	is.True(f.due(pollInterval))
	f.members.rank = regularReaders
	is.True(!f.due(pollInterval))
	is.True(f.due(retryInterval))
}

// Load pattern: the whole fleet starts for the first time. Daemons wait to receive
// what the first ones read, and poll themselves after firstPollDelay, before
// callers arrive.
func TestDelayFirstPoll_WaitsForPeers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.DelayFirstPoll()
	f.members.rank = 0 // no peer is alive yet
	is.True(!f.due(time.Hour))
	f.now = f.now.Add(firstPollDelay)
	is.True(f.due(time.Hour))
}

// The last rank polls early enough for a configuration to be in force within two
// seconds.
func TestMaxAge_WithinConfigurationDeadline(t *testing.T) {
	is := is.New(t)
	const configDeadline = 2 * time.Second
	is.True(maxAge(300, false)+pollTimeout/4 < configDeadline)
}

// Load pattern: the store is unavailable to all daemons and entries of servers
// expire meanwhile. Servers that are listed again within retainGrace stay in the
// catalog throughout; the others are removed after it.
func TestPoll_RetainsServersExpiredDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	is.True(!f.members.storeReachable)
	f.now = f.now.Add(4 * time.Second)
	f.publish(2)
	is.Equal(f.servers(), 2)
	f.now = f.now.Add(time.Second)
	f.publish(3, "a")
	is.Equal(f.servers(), 2)
	f.now = f.now.Add(retainGrace)
	f.publish(4, "a")
	is.Equal(f.servers(), 1)
}

// The second regular reader polls successfully shortly after the first, whose
// confirmation it has already received.
func TestPoll_RetainsServersAfterPeerConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a", "b")
	known := f.catalog.State()
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.poll(context.Background())
	f.AdoptFromPeer("first", known, f.now)
	f.now = f.now.Add(100 * time.Millisecond)
	f.publish(2)
	is.Equal(f.servers(), 2)
}

// A daemon loses the store and its peers, and then receives messages from the peers
// again before it polls. Its servers may be out of date, so it retains none.
func TestPoll_RetainsNothingAfterLosingStoreAndPeers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	f.members.majority = false
	f.now = f.now.Add(4 * time.Second)
	f.poll(context.Background())
	f.members.majority = true
	f.AdoptFromPeer("peer", f.catalog.State(), f.now)
	f.publish(2)
	is.Equal(f.servers(), 0)
}

// A daemon that alone lost its connection to the store must not restore servers
// that were removed meanwhile (hunt seed 225482111261).
func TestPoll_RetainsNothingIfPeersReadStore(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.catalog.Confirm(1, f.catalog.View().Hash, f.now) // a peer has read the store
	f.publish(2, "a")
	is.Equal(f.servers(), 1)
}

// As above, for a daemon that received no messages from peers either.
func TestPoll_RetainsNothingIfIsolated(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.members.majority = false
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.publish(2, "a")
	is.Equal(f.servers(), 1)
}

func TestPoll_DoesNotRetainServerReplacedAtItsAddress(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a")
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.store.err = nil
	f.store.update.Revision = 2
	f.store.update.Servers = []catalog.Server{{ID: "new", Service: "other", Address: addressOf("a")}}
	f.poll(context.Background())
	is.Equal(f.servers(), 1)
}

func TestAdopt_KeepsLastValidConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a")
	f.store.decodeErr = errDown
	f.store.update.ConfigRev = 9
	f.store.update.Revision = 9
	f.poll(context.Background())
	is.Equal(f.catalog.View().Table.Version(), int64(1))
	is.Equal(f.log.rejected, 1)
	f.AdoptFromPeer("p", catalog.State{Revision: 12, RawRev: 12, Raw: []byte("doc")}, f.now)
	is.Equal(f.catalog.View().Table.Version(), int64(1))
}

// A document that can't be decoded stays in the store until the next one: it must not
// be decoded and logged at each poll, and must not hide a later or a peer's document.
func TestPoll_DecodesRejectedDocumentOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.store.decodeErr = errDown
	for revision := range int64(3) {
		f.publish(revision+1, "a")
	}
	is.Equal(f.store.decoded, 1)
	is.Equal(f.log.rejected, 1)
	is.Equal(f.servers(), 1) // the servers are in force all the same

	f.store.decodeErr = nil
	f.AdoptFromPeer("10.0.0.2", catalog.State{Revision: 4, Raw: []byte("doc"), RawRev: 1}, f.now)
	is.True(f.catalog.View().Table != nil)

	f.store.update = Update{Revision: 5, SentAt: f.now, Config: []byte("doc"), ConfigRev: 5}
	f.poll(t.Context())
	is.Equal(f.catalog.View().Table.Version(), int64(5))
}

// Guards against a server with an odd address or number that one peer has accepted:
// it must not spread, and must not keep the state from being adopted.
func TestAdoptFromPeer_LeavesOutServersThatCannotBeUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	good := catalog.Server{ID: "a", Service: "s", Address: addressOf("a"), Born: 1790000000000}
	state := catalog.State{Revision: 4, RawRev: 1, Raw: []byte("doc"), Servers: []catalog.Server{good}}
	for _, spoil := range []func(*catalog.Server){
		func(s *catalog.Server) { s.ID = "two\nlines" },
		func(s *catalog.Server) { s.Service = "" },
		func(s *catalog.Server) { s.Address = "10.0.0.1:99999" },
		func(s *catalog.Server) { s.Address = "localhost:1" },
		func(s *catalog.Server) { s.Slots = -1 },
		func(s *catalog.Server) { s.Born = math.MaxInt64 },
	} {
		odd := good
		spoil(&odd)
		state.Servers = append(state.Servers, odd)
	}
	f.AdoptFromPeer("10.0.0.9", state, f.now)
	is.Equal(f.catalog.State().Servers, []catalog.Server{good})
	is.Equal(f.catalog.View().Revision, int64(4))
	is.Equal(len(f.log.rejectedServers), 6)
	for _, err := range f.log.rejectedServers {
		var bad *catalog.ServerError
		is.True(errors.As(err, &bad))
	}
}

// Guards against a poll that says nothing of entries that it ignores.
func TestPoll_LogsRejectedEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.store.update = Update{Revision: 1, SentAt: f.now, Rejected: []RejectedEntry{{Revision: 1, Err: errDown}}}
	f.poll(context.Background())
	is.Equal(f.log.rejectedServers, []error{errDown})
}

// Guards against an evacuation that the daemon which reads the store keeps to itself, and
// against odd names in the state of a peer.
func TestAdopt_PassesOnEvacuatedZones(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publish(1, "a")
	f.store.update.Revision, f.store.update.Evacuated = 2, []string{"x", "z"}
	f.poll(context.Background())
	is.Equal(f.catalog.State().Evacuated, []string{"x", "z"})
	hash := f.catalog.View().Hash

	peer := newFixture()
	state := f.catalog.State()
	state.Evacuated = []string{"z", "", "x", "x"}
	peer.AdoptFromPeer("10.0.0.9", state, peer.now)
	is.Equal(peer.catalog.State().Evacuated, []string{"x", "z"})
	is.Equal(peer.catalog.View().Hash, hash)
	is.Equal(len(peer.log.rejectedServers), 1)

	state.Revision, state.Evacuated = 1, nil // of a peer that is behind
	peer.AdoptFromPeer("10.0.0.8", state, peer.now)
	is.Equal(len(peer.catalog.View().Evacuated), 2)
	f.store.err = errDown
	f.now = f.now.Add(10 * time.Second)
	f.poll(context.Background())
	is.Equal(len(f.catalog.View().Evacuated), 2) // the last list stays in force
}
