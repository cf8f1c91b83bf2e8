// Package reader keeps the catalog up to date by polling the platform's store.
//
// Read calls to the store are billed, so only a few daemons poll it and the
// others receive the state from their peers. There is no leader election: each
// daemon polls when its state is older than a limit that grows with its rank
// among the daemons that are alive. The first ranks poll regularly; the
// others poll only if they receive no confirmation from their peers.
package reader

import (
	"context"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

// Update is the result of one poll of the store.
type Update struct {
	Revision  int64            // store revision up to which the update is complete
	SentAt    boottime.Instant // when the read was sent, which is the time of the confirmation
	Config    []byte           // configuration document; nil if none was published
	ConfigRev int64            // store revision of the configuration document
	Servers   []catalog.Server // sorted by ID
	Evacuated []string         // availability zones, as catalog.UsableZones returns them
	Rejected  []RejectedEntry  // since the last poll
}

// RejectedEntry is a published entry that names no server, or no zone to evacuate.
type RejectedEntry struct {
	Revision int64 // store revision of the entry
	Err      error // names the key and the field
}

// Source reads the platform's store.
type Source interface {
	// Poll returns the complete published state. It is not called concurrently.
	Poll(ctx context.Context) (Update, error)
	// DecodeConfig decodes a configuration document. It may be called concurrently.
	DecodeConfig(raw []byte) (*route.Config, error)
}

// Membership is this daemon's view of the fleet.
type Membership interface {
	// Rank returns this daemon's position, starting at 0, among the alive daemons
	// that are not leaving and can read the store. If this daemon can't read the
	// store itself, it is the position among all alive daemons that are not
	// leaving.
	Rank() int
	// SetStoreReachable records whether this daemon can read the store.
	SetStoreReachable(ok bool)
	// LargeFleet reports whether an update takes several gossip rounds to reach
	// all daemons.
	LargeFleet() bool
	// HasMajority reports whether more than half of the daemons that were
	// recently alive are alive now.
	HasMajority() bool
}

// Log records the reader's events.
type Log interface {
	// StoreUnavailable is called at the first failed poll of an outage, with the
	// age of the state.
	StoreUnavailable(err error, age time.Duration)
	// StoreAvailable is called at the first successful poll after an outage.
	StoreAvailable(outage time.Duration)
	// ConfigRejected is called for a configuration document that can't be
	// decoded.
	ConfigRejected(err error, revision int64)
	// ServerRejected is called for each revision of an entry that names no server, or
	// no zone to evacuate, and for a server or a zone in the state of a peer that can't
	// be used. The origin is as
	// for Adopted.
	ServerRejected(origin string, err error, revision int64)
	// Adopted is called when the contents of the state have changed. The origin
	// is "store" or the IP address of a peer.
	Adopted(origin string, revision, version int64, servers int, age time.Duration)
}

// storeOrigin is the origin of states and entries that were read from the store.
const storeOrigin = "store"

const (
	// tick is the interval at which Run checks whether a poll is due if one may be
	// due soon, and maxTick otherwise: each check wakes the process up.
	tick    = 50 * time.Millisecond
	maxTick = 200 * time.Millisecond
	// regularReaders is the number of ranks that poll as soon as the state is
	// about pollInterval old.
	regularReaders = 2
	pollInterval   = 500 * time.Millisecond
	// standbyAge is the age of the state at which the first rank after the
	// regular readers polls too. Each further rank waits rankStep longer, up to
	// maxRankDelay in total.
	standbyAge   = 900 * time.Millisecond
	rankStep     = 60 * time.Millisecond
	maxRankDelay = 500 * time.Millisecond
	// spreadTime is the time in which an update reaches all daemons of a large
	// fleet.
	spreadTime  = 700 * time.Millisecond
	pollTimeout = 800 * time.Millisecond
	// retryInterval is the time between polls of a daemon that can't read the
	// store, unless it is one of the regular readers. Every attempt is billed.
	retryInterval = 2 * time.Second
	// firstInterval is the time between polls of a daemon that has no state yet.
	firstInterval = 2 * tick
	// minOutage is the shortest outage during which entries of running servers
	// may expire. After a shorter one, a server that is no longer listed was
	// removed.
	minOutage = 700 * time.Millisecond
	// outageAge is an age of the state that is only reached if no rank can read
	// the store.
	outageAge = 2500 * time.Millisecond
	// retainGrace is how long servers whose entries may have expired during an
	// outage are retained after the store is available again.
	retainGrace = 2200 * time.Millisecond
)

// Reader polls the store and writes what it reads to the catalog.
// AdoptFromPeer may be called concurrently with Run and itself; DelayFirstPoll must be
// called before Run.
type Reader struct {
	source  Source
	catalog *catalog.Catalog
	members Membership
	clock   boottime.Clock
	log     Log

	failing      bool             // the last poll failed
	failedAt     boottime.Instant // first failed poll of the outage
	maxFailedAge time.Duration    // maximum age of the state at a failed poll while a majority was alive
	firstPollAt  boottime.Instant // earliest time of the first poll
	retained     []catalog.Server // in the catalog until retainUntil even if the store no longer lists them
	retainUntil  boottime.Instant
	rejectedRev  int64 // store revision of the last document that could not be decoded
}

// New returns a reader. It does not poll before Run is called.
func New(s Source, c *catalog.Catalog, m Membership, clock boottime.Clock, log Log) *Reader {
	return &Reader{source: s, catalog: c, members: m, clock: clock, log: log}
}

// firstPollDelay is how long a daemon waits to receive the state from a peer at
// the first start of the whole fleet, when there are no callers yet.
const firstPollDelay = 1500 * time.Millisecond

// DelayFirstPoll delays the first poll, so that few daemons read the store when
// the whole fleet starts for the first time.
func (r *Reader) DelayFirstPoll() { r.firstPollAt = r.clock().Add(firstPollDelay) }

// Run polls the store whenever a poll is due, until the context ends.
func (r *Reader) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last boottime.Instant
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if r.due(r.clock().Sub(last)) {
			last = r.clock()
			r.poll(ctx)
		}
		timer.Reset(r.untilCheck())
	}
}

// untilCheck returns the time until the next check whether a poll is due. A standby
// has no poll to make before the state has reached the maximum age of its rank.
func (r *Reader) untilCheck() time.Duration {
	age, known := r.catalog.Age()
	rank := r.members.Rank()
	if !known || rank < regularReaders {
		return tick
	}
	return min(max(maxAge(rank, r.members.LargeFleet())-age, tick), maxTick)
}

// due reports whether the daemon has to poll, given the time since its last poll.
func (r *Reader) due(sincePoll time.Duration) bool {
	age, known := r.catalog.Age()
	if !known {
		return sincePoll >= firstInterval && r.clock() >= r.firstPollAt
	}
	rank := r.members.Rank()
	if r.failing && rank >= regularReaders && sincePoll < retryInterval {
		return false
	}
	return sincePoll >= pollInterval && age >= maxAge(rank, r.members.LargeFleet())
}

// maxAge returns the age of the state at which the given rank polls.
func maxAge(rank int, largeFleet bool) time.Duration {
	if rank < regularReaders {
		return pollInterval - tick
	}
	age := standbyAge + min(time.Duration(rank-regularReaders)*rankStep, maxRankDelay)
	if largeFleet {
		age += spreadTime
	}
	return age
}

// poll reads the store once and adopts the result.
func (r *Reader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	update, err := r.source.Poll(ctx)
	if err != nil {
		r.recordFailure(err)
		return
	}
	r.recordSuccess()
	for _, e := range update.Rejected {
		r.log.ServerRejected(storeOrigin, e.Err, e.Revision)
	}
	r.adopt(update)
}
