// Package reader keeps the catalog up to date from the platform's store.
//
// Reading calls are paid, so few daemons read and the others are told. There
// is no election: each daemon reads when what it knows is older than a bound
// that grows with its rank among the daemons it hears. The first ranks read
// regularly, and the others only when nobody tells them.
package reader

import (
	"context"
	"slices"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

// Update is what one poll of the store has found.
type Update struct {
	Revision  int64            // up to which the update is complete
	SentAt    boottime.Instant // when the read was sent
	Config    []byte           // the configuration document; nil if none was published
	ConfigRev int64
	Servers   []catalog.Server // sorted by ID
}

// Source reads the platform's store.
type Source interface {
	// Poll returns the complete state. It is not called concurrently.
	Poll(ctx context.Context) (Update, error)
	// DecodeConfig reads a configuration document.
	DecodeConfig(raw []byte) (*route.Config, error)
}

// Membership tells a daemon's place among those that can read, 0 being the first.
type Membership interface {
	Rank() int
	SetStoreReachable(ok bool)
	// LargeFleet tells whether news take several rounds to reach all daemons.
	LargeFleet() bool
	// HasMajority tells whether most of the daemons known of late are heard.
	HasMajority() bool
}

// Log takes the reader's events.
type Log interface {
	StoreUnavailable(err error, age time.Duration)
	StoreAvailable(outage time.Duration)
	ConfigRejected(err error, revision int64)
	Adopted(origin string, revision, version int64, servers int, age time.Duration)
}

const (
	tick = 50 * time.Millisecond
	// regularReaders poll at pollInterval whatever they hear from others.
	regularReaders = 2
	pollInterval   = 500 * time.Millisecond
	// standbyAge is the age from which the next rank reads too; each further
	// rank waits rankStep longer, at most maxRankDelay.
	standbyAge   = 900 * time.Millisecond
	rankStep     = 60 * time.Millisecond
	maxRankDelay = 500 * time.Millisecond
	// spreadTime is how long news take to reach all daemons of a large fleet.
	spreadTime  = 700 * time.Millisecond
	pollTimeout = 800 * time.Millisecond
	// retryInterval is the time between polls of a daemon that can't read, unless
	// it is one of the first of those that can't: all pay for each try.
	retryInterval = 2 * time.Second
	// firstInterval is the time between polls of a daemon that knows nothing.
	firstInterval = 2 * tick
	// outageAfter is how long polls fail before deletions found afterwards may
	// be entries that only expired during the outage.
	outageAfter = 700 * time.Millisecond
	// outageAge is an age that is only reached if no rank can read.
	outageAge = 2500 * time.Millisecond
	// returnGrace is how long such entries are kept after the store's return.
	returnGrace = 2200 * time.Millisecond
)

// Reader polls the store.
type Reader struct {
	source  Source
	catalog *catalog.Catalog
	ranks   Membership
	clock   boottime.Clock
	log     Log

	failing   bool
	failedAt  boottime.Instant
	oldestAge time.Duration    // greatest age met by a failed poll while most daemons were heard
	waitUntil boottime.Instant // before the first poll
	lapsed    []catalog.Server // kept though the store no longer lists them
	keepUntil boottime.Instant
}

// New returns a reader that does nothing before Run.
func New(s Source, c *catalog.Catalog, r Membership, clock boottime.Clock, log Log) *Reader {
	return &Reader{source: s, catalog: c, ranks: r, clock: clock, log: log}
}

// firstWait is how long a daemon waits for others to tell it the state when all
// start for the first time, before any caller comes.
const firstWait = 1500 * time.Millisecond

// DelayFirstPoll puts off the first poll, so that few daemons read at the first
// start of all.
func (r *Reader) DelayFirstPoll() { r.waitUntil = r.clock().Add(firstWait) }

// Run polls until the context ends.
func (r *Reader) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var last boottime.Instant
	for {
		if r.due(r.clock().Sub(last)) {
			last = r.clock()
			r.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due tells whether the daemon has to read, given the time since its last poll.
func (r *Reader) due(sincePoll time.Duration) bool {
	age, known := r.catalog.Age()
	if !known {
		return sincePoll >= firstInterval && r.clock() >= r.waitUntil
	}
	rank := r.ranks.Rank()
	if r.failing && rank >= regularReaders && sincePoll < retryInterval {
		return false
	}
	return sincePoll >= pollInterval && age >= maxAge(rank, r.ranks.LargeFleet())
}

// maxAge returns the age of what is known from which a rank reads.
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

func (r *Reader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	update, err := r.source.Poll(ctx)
	if err != nil {
		r.failed(err)
		return
	}
	r.succeeded()
	r.adopt(update)
}

func (r *Reader) failed(err error) {
	r.ranks.SetStoreReachable(false)
	age, _ := r.catalog.Age()
	if r.ranks.HasMajority() {
		r.oldestAge = max(r.oldestAge, age)
	}
	if r.failing {
		return
	}
	r.failing = true
	r.failedAt = r.clock()
	r.log.StoreUnavailable(err, age)
}

func (r *Reader) succeeded() {
	now := r.clock()
	r.ranks.SetStoreReachable(true)
	if r.failing {
		outage := now.Sub(r.failedAt)
		r.log.StoreAvailable(outage)
		if outage >= outageAfter && r.storeWasAway() {
			r.keepUntil = now.Add(returnGrace)
			r.lapsed = r.catalog.State().Servers
		}
	}
	r.failing = false
	r.oldestAge = 0
}

// storeWasAway tells whether no daemon could read the store, rather than only
// this one: then most daemons are heard and none has confirmed the state, or
// none had for long when this one failed last.
func (r *Reader) storeWasAway() bool {
	age, known := r.catalog.Age()
	if !known || !r.ranks.HasMajority() {
		return false
	}
	return age >= outageAfter || r.oldestAge >= outageAge
}

func (r *Reader) adopt(u Update) {
	state := catalog.State{
		Revision: u.Revision,
		RawRev:   u.ConfigRev,
		Raw:      u.Config,
		Servers:  r.withLapsed(u.Servers),
	}
	table, err := r.table(&state)
	if err != nil {
		r.log.ConfigRejected(err, u.ConfigRev)
	}
	before := r.catalog.View()
	if r.catalog.Adopt(state, table, u.SentAt) {
		r.logChange("store", before)
	}
}

func (r *Reader) logChange(origin string, before *catalog.View) {
	after := r.catalog.View()
	if after.Hash == before.Hash {
		return
	}
	var version int64
	if after.Table != nil {
		version = after.Table.Version()
	}
	age, _ := r.catalog.Age()
	r.log.Adopted(origin, after.Revision, version, len(after.Servers), age)
}

// AdoptFromPeer takes over a state that a peer has told.
func (r *Reader) AdoptFromPeer(origin string, s catalog.State, at boottime.Instant) {
	table, err := r.table(&s)
	if err != nil {
		r.log.ConfigRejected(err, s.RawRev)
		return
	}
	before := r.catalog.View()
	if r.catalog.Adopt(s, table, at) {
		r.logChange(origin, before)
	}
}

// table decodes the configuration document unless it is the one in force.
func (r *Reader) table(s *catalog.State) (*route.Table, error) {
	if len(s.Raw) == 0 || s.RawRev <= r.catalog.State().RawRev {
		return nil, nil
	}
	c, err := r.source.DecodeConfig(s.Raw)
	if err != nil {
		return nil, err
	}
	return route.NewTable(c), nil
}

// withLapsed adds the servers that were known before an outage and may have
// expired only because of it.
func (r *Reader) withLapsed(listed []catalog.Server) []catalog.Server {
	if r.lapsed == nil {
		return listed
	}
	if r.clock() >= r.keepUntil {
		r.lapsed = nil
		return listed
	}
	all := slices.Clone(listed)
	for _, old := range r.lapsed {
		if !contains(listed, old) {
			all = append(all, old)
		}
	}
	catalog.SortServers(all)
	return all
}

// contains tells whether a listed server has the old one's id or address, so
// that the old one is back or replaced.
func contains(listed []catalog.Server, old catalog.Server) bool {
	return slices.ContainsFunc(listed, func(s catalog.Server) bool {
		return s.ID == old.ID || s.Address == old.Address
	})
}
