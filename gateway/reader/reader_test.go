package reader

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

type store struct {
	update Update
	err    error
	badDoc error
}

func (s *store) Poll(context.Context) (Update, error) { return s.update, s.err }

func (s *store) DecodeConfig([]byte) (*route.Config, error) {
	if s.badDoc != nil {
		return nil, s.badDoc
	}
	return &route.Config{Version: s.update.ConfigRev}, nil
}

type ranks struct {
	rank     int
	majority bool
	reading  bool
}

func (r *ranks) Rank() int                 { return r.rank }
func (r *ranks) SetStoreReachable(ok bool) { r.reading = ok }
func (r *ranks) LargeFleet() bool          { return false }
func (r *ranks) HasMajority() bool         { return r.majority }

type quiet struct{ rejected int }

func (*quiet) StoreUnavailable(error, time.Duration)            {}
func (*quiet) StoreAvailable(time.Duration)                     {}
func (q *quiet) ConfigRejected(error, int64)                    { q.rejected++ }
func (*quiet) Adopted(string, int64, int64, int, time.Duration) {}

type fixture struct {
	*Reader
	store *store
	ranks *ranks
	log   *quiet
	now   boottime.Instant
}

var errDown = errors.New("down")

func start() *fixture {
	f := &fixture{store: &store{}, ranks: &ranks{majority: true}, log: &quiet{}, now: boottime.Instant(time.Hour)}
	clock := func() boottime.Instant { return f.now }
	f.Reader = New(f.store, catalog.New(clock), f.ranks, clock, f.log)
	return f
}

// publish polls a store that lists the servers.
func (f *fixture) publish(revision int64, ids ...string) {
	f.store.err = nil
	f.store.update = Update{Revision: revision, SentAt: f.now, Config: []byte("doc"), ConfigRev: 1}
	for _, id := range ids {
		f.store.update.Servers = append(f.store.update.Servers, catalog.Server{ID: id, Service: "s", Address: id})
	}
	f.poll(context.Background())
}

func (f *fixture) servers() int { return len(f.catalog.View().Servers) }

func TestFewDaemonsReadAndOthersStandBy(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a")
	f.now = f.now.Add(pollInterval)
	is.True(f.due(pollInterval))
	f.ranks.rank = 5
	is.True(!f.due(pollInterval)) // told by others until now
	f.now = f.now.Add(maxAge(5, false))
	is.True(f.due(pollInterval)) // nobody tells
}

// Load pattern: the store is down for all, or turns many daemons away. The first
// two go on trying, the others try seldom.
func TestFewDaemonsTryAStoreThatIsDown(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a")
	f.store.err = errDown
	f.now = f.now.Add(3 * time.Second)
	f.poll(context.Background())
	is.True(f.due(pollInterval))
	f.ranks.rank = regularReaders
	is.True(!f.due(pollInterval))
	is.True(f.due(retryInterval))
}

// Load pattern: all daemons start for the first time. They are told what the
// first ones read, or read by themselves before callers come.
func TestAtTheFirstStartMostDaemonsWaitToBeTold(t *testing.T) {
	is := is.New(t)
	f := start()
	f.DelayFirstPoll()
	f.ranks.rank = 0 // nobody is heard yet
	is.True(!f.due(time.Hour))
	f.now = f.now.Add(firstWait)
	is.True(f.due(time.Hour))
}

// The rank that reads last still reads early enough for a configuration to be
// in force within two seconds.
func TestStandbyEndsWellBeforeTheBoundOfConfigurations(t *testing.T) {
	is := is.New(t)
	const configBound = 2 * time.Second
	is.True(maxAge(300, false)+pollTimeout/4 < configBound)
}

// Load pattern: the store is down for all and entries expire meanwhile. Servers
// that come back within the grace were never dropped; one that doesn't is gone.
func TestEntriesThatLapsedDuringAnOutageAreKeptForAGrace(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	is.True(!f.ranks.reading)
	f.now = f.now.Add(4 * time.Second)
	f.publish(2)
	is.Equal(f.servers(), 2)
	f.now = f.now.Add(time.Second)
	f.publish(3, "a")
	is.Equal(f.servers(), 2)
	f.now = f.now.Add(returnGrace)
	f.publish(4, "a")
	is.Equal(f.servers(), 1)
}

// The second regular reader finds the store back a moment after the first, which
// has told it already.
func TestASecondReaderKeepsLapsedEntriesToo(t *testing.T) {
	is := is.New(t)
	f := start()
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

// A daemon that was cut off from the store and from its peers hears these again
// before it reads: what it still knows may be out of date.
func TestACutFromPeersAndStoreKeepsNoServers(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	f.ranks.majority = false
	f.now = f.now.Add(4 * time.Second)
	f.poll(context.Background())
	f.ranks.majority = true
	f.AdoptFromPeer("peer", f.catalog.State(), f.now)
	f.publish(2)
	is.Equal(f.servers(), 0)
}

// A daemon whose own way to the store was cut must not bring back servers that
// left meanwhile (hunt seed 225482111261).
func TestAnOwnCutKeepsNoServers(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.catalog.Confirm(1, f.catalog.View().Hash, f.now) // a peer has read
	f.publish(2, "a")
	is.Equal(f.servers(), 1)
}

// The same for a daemon that heard no peers either.
func TestAnIsolatedDaemonKeepsNoServers(t *testing.T) {
	is := is.New(t)
	f := start()
	f.ranks.majority = false
	f.publish(1, "a", "b")
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.publish(2, "a")
	is.Equal(f.servers(), 1)
}

func TestAServerReplacedAtItsAddressIsNotKept(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a")
	f.store.err = errDown
	f.poll(context.Background())
	f.now = f.now.Add(4 * time.Second)
	f.store.err = nil
	f.store.update.Revision = 2
	f.store.update.Servers = []catalog.Server{{ID: "new", Service: "other", Address: "a"}}
	f.poll(context.Background())
	is.Equal(f.servers(), 1)
}

func TestAnUnreadableConfigurationLeavesTheLastGoodOne(t *testing.T) {
	is := is.New(t)
	f := start()
	f.publish(1, "a")
	f.store.badDoc = errDown
	f.store.update.ConfigRev = 9
	f.store.update.Revision = 9
	f.poll(context.Background())
	is.Equal(f.catalog.View().Table.Version(), int64(1))
	is.Equal(f.log.rejected, 1)
	f.AdoptFromPeer("p", catalog.State{Revision: 12, RawRev: 12, Raw: []byte("doc")}, f.now)
	is.Equal(f.catalog.View().Table.Version(), int64(1))
}
