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

// daemon is one daemon's Exchange and what it is made of, under a clock that
// the test moves.
type daemon struct {
	*heartbeat.Exchange
	elapsed   atomic.Int64 // nanoseconds
	seq       uint64       // of the peers' heartbeats
	directory *member.Directory
	adopter   *adopt.Adopter
	lender    *lease.Lender
	shares    *lease.Shares
	loads     *loadtable.Table
}

// newDaemon returns daemon "L" of a fleet with daemons A and B and an engine.
// Its lender is open.
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
	d.passes(leaseTime)
	return d
}

// passes moves the clock.
func (d *daemon) passes(t time.Duration) { d.elapsed.Add(int64(t)) }

// listOf returns a VM list with an engine and daemons.
func listOf(version uint64, daemons ...string) *platformapi.VMList {
	list := &platformapi.VMList{Version: version, VMs: []platformapi.VM{{ID: "engine", Role: platformapi.RoleBackend}}}
	for _, id := range daemons {
		list.VMs = append(list.VMs, platformapi.VM{ID: id, Role: platformapi.RoleEntry, Peer: id + ":1"})
	}
	return list
}

// hears has a peer send a heartbeat and returns the grant if it claims.
func (d *daemon) hears(t *testing.T, id string, incarnation uint64, claims bool, released ...string) *peerpb.Grant {
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

// TestClaims follows one share through claims, release, crash and expiry.
func TestClaims(t *testing.T) {
	is := is.New(t)
	d := newDaemon(nil)
	d.OfferVMList(listOf(1, "A", "B")) // L itself is not home of anything
	group := d.directory.Lenders("engine")
	first, second := group[0], group[1]
	lent := func(g *peerpb.Grant) bool { return g.DurationMs > 0 }

	d.hears(t, first, 1, false)
	refused := d.hears(t, second, 1, true)
	is.True(!lent(refused)) // another is taken for home
	is.Equal(refused.Holder, first)
	is.True(!lent(d.hears(t, "stranger", 1, true)))
	granted := d.hears(t, first, 1, true)
	is.Equal(time.Duration(granted.DurationMs)*time.Millisecond, leaseTime)
	is.Equal(granted.GroupSize, uint32(2))
	is.True(!lent(d.hears(t, first, 2, true))) // its next incarnation is another holder

	d.passes(peerTimeout) // the first is silent: the second is home
	is.True(!lent(d.hears(t, second, 1, true)))
	d.hears(t, second, 1, false, "engine")
	is.True(!lent(d.hears(t, second, 1, true))) // only the holder gives back
	d.hears(t, second, 1, false)
	d.seq++
	req := &peerpb.HeartbeatRequest{Seq: d.seq, From: &peerpb.Identity{Id: first, Incarnation: 1}, Draining: true, Released: []string{"engine"}}
	_, err := d.Heartbeat(t.Context(), req)
	is.NoErr(err)
	is.True(lent(d.hears(t, second, 1, true))) // given back: lent at once
}

// TestReleaseThatComesLateIsIgnored delays a release until the share has been
// claimed again: taken at its word, it would let the share be lent twice.
func TestReleaseThatComesLateIsIgnored(t *testing.T) {
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

// peerFake is a peer that answers, or does not.
type peerFake struct {
	heartbeat func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	documents []*peerpb.Document
	fetched   []string
}

// Heartbeat implements heartbeat.Caller.
func (p *peerFake) Heartbeat(_ context.Context, _ string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return p.heartbeat(req)
}

// FetchDocument implements heartbeat.Caller.
func (p *peerFake) FetchDocument(_ context.Context, _, name string) (*peerpb.Document, error) {
	p.fetched = append(p.fetched, name)
	for _, doc := range p.documents {
		if doc.Name == name {
			return doc, nil
		}
	}
	return nil, &heartbeat.UnknownDocumentError{Name: name}
}

// beatOnce runs the Exchange until its one peer has been asked twice, so that
// what it made of the first answer is done.
func (d *daemon) beatOnce(t *testing.T, p *peerFake, answer func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // only if it hangs
	defer cancel()
	asked := 0
	p.heartbeat = func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
		if asked++; asked == 2 {
			cancel()
		}
		return answer(req)
	}
	d.Run(ctx)
	is.New(t).True(asked >= 2)
}

// answerWith returns an answer that tells of documents.
func answerWith(documents ...*peerpb.DocumentVersion) func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
		return &peerpb.HeartbeatResponse{From: &peerpb.Identity{Id: "A"}, Documents: documents}, nil
	}
}

// TestNewerDocumentsOfPeersAreFetched replays MUT_READY_BY_PLATFORM: the
// platform's replica is stale, a peer holds a newer document.
func TestNewerDocumentsOfPeersAreFetched(t *testing.T) {
	is := is.New(t)
	const body = "[models.m]\nmax_in_flight = 8\n"
	peers := &peerFake{documents: []*peerpb.Document{{Name: "base", Version: 2, Body: []byte(body)}}}
	d := newDaemon(peers)
	d.OfferVMList(listOf(2, "L", "A"))
	d.OfferDocument(&platformapi.Document{Name: "base", Version: 1, Body: body})
	is.True(!d.AllPeersContacted()) // must not serve yet

	d.beatOnce(t, peers, answerWith(
		&peerpb.DocumentVersion{Name: "base", Version: 2},
		&peerpb.DocumentVersion{Name: "vms", Version: 1},        // older
		&peerpb.DocumentVersion{Name: "site/junin", Version: 7}, // another site's
	))
	is.Equal(peers.fetched, []string{"base"})
	is.Equal(d.adopter.Config().BaseVersion, uint64(2))
	is.True(d.AllPeersContacted())
}

// TestPeerWithoutAnAnswerKeepsNobodyFromServing replays
// MUT_WAIT_FOR_STARTING: two daemons start at one time.
func TestPeerWithoutAnAnswerKeepsNobodyFromServing(t *testing.T) {
	for _, tc := range []struct {
		name string
		resp *peerpb.HeartbeatResponse
		err  error
	}{
		{"none", nil, &heartbeat.UnknownDocumentError{}},
		{"one that names no daemon", &peerpb.HeartbeatResponse{}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			peers := &peerFake{}
			d := newDaemon(peers)
			is.True(!d.AllPeersContacted()) // no list yet
			d.OfferVMList(listOf(1, "L", "A"))
			is.True(!d.AllPeersContacted())
			d.beatOnce(t, peers, func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) { return tc.resp, tc.err })
			is.True(d.AllPeersContacted())
		})
	}
}

// TestSharesAreCountedFromWhenTheClaimWasSent replays MUT_COUNT_FROM_RECEIPT.
func TestSharesAreCountedFromWhenTheClaimWasSent(t *testing.T) {
	is := is.New(t)
	peers := &peerFake{}
	d := newDaemon(peers)
	d.OfferVMList(listOf(1, "L", "A"))
	lent := false
	d.beatOnce(t, peers, func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
		resp := &peerpb.HeartbeatResponse{From: &peerpb.Identity{Id: "A"}}
		if !lent {
			d.passes(leaseTime / 2) // the answer is slow
			ms := uint32(leaseTime.Milliseconds())
			resp.Grants = []*peerpb.Grant{{Backend: "engine", DurationMs: ms, GroupSize: 1}}
			lent = true
		}
		return resp, nil
	})
	is.Equal(d.shares.Fraction("engine").Lenders, 1)
	d.passes(leaseTime / 2)
	is.Equal(d.shares.Fraction("engine").Lenders, 0)
}
