package heartbeat_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/fleet/heartbeat"
	"cassialatch.dev/fleet/home"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

const (
	leaseTime   = 3 * time.Second
	peerTimeout = 2 * time.Second
	interval    = time.Millisecond
)

// daemon is an Exchange and its parts, with a clock that the test advances.
type daemon struct {
	*heartbeat.Exchange
	elapsed   atomic.Int64 // nanoseconds
	seq       uint64       // of the latest heartbeat that receive passed in
	directory *member.Directory
	adopter   *adopt.Adopter
	lender    *lease.Lender
	shares    *lease.Shares
	loads     *loadtable.Table
}

// newDaemon returns daemon L without a VM list. Its lender is ready to grant
// shares.
func newDaemon(peers heartbeat.PeerClient) *daemon {
	d := &daemon{}
	now := func() time.Time { return time.Unix(1_000_000, d.elapsed.Load()) }
	self := &peerpb.Identity{Id: "L", Incarnation: 1}
	holder := lease.Holder{ID: self.Id, Incarnation: self.Incarnation}
	d.directory = member.NewDirectory(member.Options{Self: self, PeerTimeout: peerTimeout}, now)
	d.adopter = adopt.New("vestland", func(*dynamic.Config) {})
	d.lender = lease.NewLender(leaseTime, now)
	d.shares = lease.NewShares(now)
	d.loads = loadtable.New(peerTimeout, now)
	suspects := quarantine.New(quarantine.Options{}, now)
	homes := home.New(context.Background(), home.Options{
		Self: holder, Directory: d.directory, Lender: d.lender, Shares: d.shares, Loads: d.loads,
		Quarantine: suspects, Stragglers: straggler.NewSet(straggler.Options{}, now),
		Config: d.adopter.Config, Now: now, Log: zerolog.Nop(),
	})
	d.Exchange = heartbeat.New(heartbeat.Options{
		Self: self, Directory: d.directory, Adopter: d.adopter, Lender: d.lender, Shares: d.shares, Home: homes,
		Quarantine: suspects, Peers: peers, Interval: interval, MaxPeers: 8, Now: now, Log: zerolog.Nop(),
	})
	d.advance(leaseTime)
	return d
}

// advance advances the clock.
func (d *daemon) advance(t time.Duration) { d.elapsed.Add(int64(t)) }

// listOf returns a VM list with one backend server, "engine", and the daemons.
func listOf(version uint64, daemons ...string) *platformapi.VMList {
	list := &platformapi.VMList{Version: version, VMs: []platformapi.VM{{ID: "engine", Role: platformapi.RoleBackend}}}
	for _, id := range daemons {
		list.VMs = append(list.VMs, platformapi.VM{ID: id, Role: platformapi.RoleEntry, Peer: id + ":1"})
	}
	return list
}

// receive passes in a heartbeat of a peer and returns the grant for "engine" if the
// heartbeat claims it, else nil.
func (d *daemon) receive(t *testing.T, id string, incarnation uint64, claims bool, released ...string) *peerpb.Grant {
	t.Helper()
	d.seq++
	req := &peerpb.HeartbeatRequest{Seq: d.seq, From: &peerpb.Identity{Id: id, Incarnation: incarnation}, Released: released}
	if claims {
		req.Claims = []*peerpb.Claim{{Backend: "engine"}}
	}
	resp, err := d.Heartbeat(t.Context(), req)
	is.New(t).NoErr(err)
	if !claims {
		return nil
	}
	return resp.Grants[0]
}

// TestHeartbeat_ClaimsAndReleases checks that a share is granted only to the home, to
// only one holder and incarnation at a time, and to a successor only after the holder
// has released it.
func TestHeartbeat_ClaimsAndReleases(t *testing.T) {
	is := is.New(t)
	d := newDaemon(nil)
	d.OfferVMList(listOf(1, "A", "B")) // L is not in the list, so it is not home of the engine
	lenders := d.directory.Lenders("engine")
	first, second := lenders[0], lenders[1]
	granted := func(g *peerpb.Grant) bool { return g.DurationMs > 0 }

	d.receive(t, first, 1, false)
	refused := d.receive(t, second, 1, true)
	is.True(!granted(refused)) // another daemon is the home
	is.Equal(refused.Holder, first)
	is.True(!granted(d.receive(t, "stranger", 1, true)))
	grant := d.receive(t, first, 1, true)
	is.Equal(time.Duration(grant.DurationMs)*time.Millisecond, leaseTime)
	is.Equal(grant.GroupSize, uint32(2))
	is.True(!granted(d.receive(t, first, 2, true))) // the next incarnation is a different holder

	d.advance(peerTimeout) // the first is down, so the second is home
	is.True(!granted(d.receive(t, second, 1, true)))
	d.receive(t, second, 1, false, "engine")
	is.True(!granted(d.receive(t, second, 1, true))) // only the holder can release the share
	d.receive(t, second, 1, false)
	d.seq++
	req := &peerpb.HeartbeatRequest{Seq: d.seq, From: &peerpb.Identity{Id: first, Incarnation: 1}, Draining: true, Released: []string{"engine"}}
	_, err := d.Heartbeat(t.Context(), req)
	is.NoErr(err)
	is.True(granted(d.receive(t, second, 1, true))) // released by the holder: granted at once
}

// TestHeartbeat_IgnoresLateRelease delays a release until the share has been claimed
// again. If the release took effect, the share could be lent twice.
func TestHeartbeat_IgnoresLateRelease(t *testing.T) {
	is := is.New(t)
	d := newDaemon(nil)
	d.OfferVMList(listOf(1, "A", "B"))
	first := d.directory.Lenders("engine")[0]
	from := &peerpb.Identity{Id: first, Incarnation: 1}
	late := &peerpb.HeartbeatRequest{Seq: 1, From: from, Released: []string{"engine"}}
	claim := &peerpb.HeartbeatRequest{Seq: 2, From: from, Claims: []*peerpb.Claim{{Backend: "engine"}}}
	resp, err := d.Heartbeat(t.Context(), claim)
	is.NoErr(err)
	is.True(resp.Grants[0].DurationMs > 0)
	_, err = d.Heartbeat(t.Context(), late)
	is.NoErr(err)
	is.Equal(d.lender.ActiveLeases(), 1)
}

// fakePeer is the PeerClient of a single peer, whose responses the test sets.
type fakePeer struct {
	heartbeat func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	documents []*peerpb.Document
	fetched   []string
}

// Heartbeat implements heartbeat.PeerClient.
func (p *fakePeer) Heartbeat(_ context.Context, _ string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return p.heartbeat(req)
}

// FetchDocument implements heartbeat.PeerClient.
func (p *fakePeer) FetchDocument(_ context.Context, _, name string) (*peerpb.Document, error) {
	p.fetched = append(p.fetched, name)
	for _, doc := range p.documents {
		if doc.Name == name {
			return doc, nil
		}
	}
	return nil, &heartbeat.UnknownDocumentError{Name: name}
}

// runUntilSecondHeartbeat runs the Exchange until it sends a second heartbeat to its only
// peer. The response to the first one has been handled by then.
func (d *daemon) runUntilSecondHeartbeat(t *testing.T, p *fakePeer, respond func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // reached only if the Exchange hangs
	defer cancel()
	calls := 0
	p.heartbeat = func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
		if calls++; calls == 2 {
			cancel()
		}
		return respond(req)
	}
	d.Run(ctx)
	is.New(t).True(calls >= 2)
}

// respondWith returns a function that responds as daemon A with the given document
// versions.
func respondWith(documents ...*peerpb.DocumentVersion) func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
		return &peerpb.HeartbeatResponse{From: &peerpb.Identity{Id: "A"}, Documents: documents}, nil
	}
}

// TestRun_FetchesNewerDocuments replays the counterexample of the model mutant
// MUT_READY_BY_PLATFORM: the platform's replica is stale and a peer holds a newer
// document, so the daemon must not serve before it has contacted the peer.
func TestRun_FetchesNewerDocuments(t *testing.T) {
	is := is.New(t)
	const body = "[models.m]\nmax_in_flight = 8\n"
	peers := &fakePeer{documents: []*peerpb.Document{{Name: "base", Version: 2, Body: []byte(body)}}}
	d := newDaemon(peers)
	d.OfferVMList(listOf(2, "L", "A"))
	d.OfferDocument(&platformapi.Document{Name: "base", Version: 1, Body: body})
	is.True(!d.AllPeersContacted()) // the peer was not contacted yet

	d.runUntilSecondHeartbeat(t, peers, respondWith(
		&peerpb.DocumentVersion{Name: "base", Version: 2},
		&peerpb.DocumentVersion{Name: "vms", Version: 1},        // older
		&peerpb.DocumentVersion{Name: "site/junin", Version: 7}, // overlay of another site
	))
	is.Equal(peers.fetched, []string{"base"})
	is.Equal(d.adopter.Config().BaseVersion, uint64(2))
	is.True(d.AllPeersContacted())
}

// TestAllPeersContacted_CountsFailedHeartbeats replays the counterexample of the model
// mutant MUT_WAIT_FOR_STARTING: two daemons start at the same time. If each waited
// for a valid response of the other, neither would serve.
func TestAllPeersContacted_CountsFailedHeartbeats(t *testing.T) {
	for _, tc := range []struct {
		name string
		resp *peerpb.HeartbeatResponse
		err  error
	}{
		{"error", nil, &heartbeat.UnknownDocumentError{}},
		{"response without identity", &peerpb.HeartbeatResponse{}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			peers := &fakePeer{}
			d := newDaemon(peers)
			is.True(!d.AllPeersContacted()) // no VM list yet
			d.OfferVMList(listOf(1, "L", "A"))
			is.True(!d.AllPeersContacted())
			d.runUntilSecondHeartbeat(t, peers, func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) { return tc.resp, tc.err })
			is.True(d.AllPeersContacted())
		})
	}
}

// TestRun_CountsLeaseFromSendTime replays the counterexample of the model mutant
// MUT_COUNT_FROM_RECEIPT: if the response to a claim is slow, the holder must count
// the lease from when it sent the claim, or it would outlast the lender's lease.
func TestRun_CountsLeaseFromSendTime(t *testing.T) {
	is := is.New(t)
	peers := &fakePeer{}
	d := newDaemon(peers)
	d.OfferVMList(listOf(1, "L", "A"))
	granted := false
	d.runUntilSecondHeartbeat(t, peers, func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
		resp := &peerpb.HeartbeatResponse{From: &peerpb.Identity{Id: "A"}}
		if !granted {
			d.advance(leaseTime / 2) // a slow response
			ms := uint32(leaseTime.Milliseconds())
			resp.Grants = []*peerpb.Grant{{Backend: "engine", DurationMs: ms, GroupSize: 1}}
			granted = true
		}
		return resp, nil
	})
	is.Equal(d.shares.Fraction("engine").Lenders, 1)
	d.advance(leaseTime / 2)
	is.Equal(d.shares.Fraction("engine").Lenders, 0)
}
