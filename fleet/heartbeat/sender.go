package heartbeat

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cassialatch.dev/fleet/pause"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/wire/peerpb"
)

// callTimeout is the timeout of one heartbeat.
const callTimeout = time.Second

// PeerClient calls peers. It must be safe for concurrent use by calls with
// different addresses.
type PeerClient interface {
	// Heartbeat sends a heartbeat to the peer at address.
	Heartbeat(ctx context.Context, address string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	// FetchDocument fetches a document from the peer at address.
	FetchDocument(ctx context.Context, address, name string) (*peerpb.Document, error)
}

// Run sends heartbeats until ctx is done, with one goroutine per peer, and calls
// Home.Tick every half interval. It returns after all its goroutines have ended.
func (x *Exchange) Run(ctx context.Context) {
	var wg sync.WaitGroup
	loops := make(map[string]context.CancelFunc)
	for ctx.Err() == nil {
		addresses := x.addresses()
		for _, address := range addresses {
			if _, running := loops[address]; running {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			loops[address] = cancel
			wg.Go(func() { x.heartbeatLoop(loopCtx, address) })
		}
		for address, cancel := range loops {
			if !slices.Contains(addresses, address) {
				cancel()
				delete(loops, address)
			}
		}
		x.opts.Home.Tick()
		pause.For(ctx, x.opts.Interval/2)
	}
	for _, cancel := range loops {
		cancel()
	}
	wg.Wait()
}

// addresses returns the addresses of the peers to send heartbeats to. These are the
// seeds while the VM list names no other daemon, all peers if there are at most
// MaxPeers, and preferredPeers in a larger fleet.
func (x *Exchange) addresses() []string {
	published := make(map[string]string) // address by ID
	for _, daemon := range x.opts.Directory.Daemons() {
		if daemon.ID != x.opts.Self.Id {
			published[daemon.ID] = daemon.Peer
		}
	}
	if len(published) == 0 {
		return x.opts.Seeds
	}
	ids := make([]string, 0, len(published))
	for id := range published {
		ids = append(ids, id)
	}
	if len(ids) > x.opts.MaxPeers {
		ids = x.preferredPeers(ids)
	}
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		addresses = append(addresses, published[id])
	}
	return addresses
}

// preferredPeers selects from ids all lenders of the backend servers that this
// daemon is home of, even if they are more than MaxPeers, and then other peers in
// rendezvous order, up to MaxPeers in total.
func (x *Exchange) preferredPeers(ids []string) []string {
	lenders := make(map[string]struct{})
	for _, server := range x.opts.Directory.Servers("") {
		serverLenders := x.opts.Directory.Lenders(server.ID)
		if home, ok := x.opts.Directory.Home(server.ID); !ok || home.ID != x.opts.Self.Id {
			continue
		}
		for _, id := range serverLenders {
			lenders[id] = struct{}{}
		}
	}
	ordered := placement.RendezvousOrder(x.opts.Self.Id, ids)
	chosen := make([]string, 0, x.opts.MaxPeers)
	for _, id := range ordered {
		if _, lends := lenders[id]; lends {
			chosen = append(chosen, id)
		}
	}
	for _, id := range ordered {
		if _, lends := lenders[id]; !lends && len(chosen) < x.opts.MaxPeers {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// heartbeatLoop sends heartbeats to one address until ctx is done. The interval has
// a jitter of +/- 25 %.
func (x *Exchange) heartbeatLoop(ctx context.Context, address string) {
	var to peerState
	for ctx.Err() == nil {
		woken := x.wake.next()
		if err := x.sendHeartbeat(ctx, address, &to); err != nil {
			to.loads.reset()
		}
		x.contacted.add(address)
		select {
		case <-ctx.Done():
		case <-woken:
		case <-time.After(x.opts.Interval*3/4 + rand.N(x.opts.Interval/2)):
		}
	}
}

// Trigger makes Run send a heartbeat to each peer at once, for updates that must
// not wait for the next interval.
func (x *Exchange) Trigger() { x.wake.fire() }

// peerState is the state of the heartbeats to one peer.
type peerState struct {
	id          string // empty until the first response
	incarnation uint64
	loads       loadDelta
}

// setIdentity records the identity in a response of the peer. A new incarnation
// resets the acknowledged loads.
func (p *peerState) setIdentity(from *peerpb.Identity) {
	if from.Incarnation != p.incarnation {
		p.loads.reset()
	}
	p.id = from.Id
	p.incarnation = from.Incarnation
}

// sendHeartbeat sends one heartbeat and handles the response. It sends claims only
// to a peer whose ID is known.
func (x *Exchange) sendHeartbeat(ctx context.Context, address string, to *peerState) error {
	req := &peerpb.HeartbeatRequest{
		From:        x.opts.Self,
		Seq:         x.seq.Add(1),
		Draining:    x.opts.Directory.Draining(),
		Claims:      x.opts.Home.Claims(to.id),
		Loads:       x.withinBudget(to.loads.due(x.opts.Home.Loads(), x.opts.Now())),
		Quarantined: x.opts.Quarantine.Export(maxQuarantined),
		Released:    x.opts.Home.Released(),
	}
	for _, backend := range req.Released {
		// Once the heartbeat is sent, the peer may lend its share to another holder.
		x.opts.Shares.RecordRefusal(backend, to.id)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := x.opts.Now()
	resp, err := x.opts.Peers.Heartbeat(callCtx, address, req)
	if err != nil {
		return err
	}
	if resp.From == nil {
		return &MissingIdentityError{}
	}
	to.loads.ack(req.Loads, sentAt)
	to.setIdentity(resp.From)
	x.opts.Directory.RecordMessage(resp.From, resp.Draining)
	x.opts.Home.MergeLoads(resp.Loads)
	x.opts.Quarantine.Merge(resp.Quarantined)
	x.recordGrants(resp, sentAt)
	x.fetchNewer(ctx, address, resp.Documents)
	return nil
}

// withinBudget returns loads if the budget of control traffic allows them, else
// nil. Peers then use older loads for a while; claims, grants and quarantined
// requests are always sent.
func (x *Exchange) withinBudget(loads []*peerpb.BackendLoad) []*peerpb.BackendLoad {
	if x.opts.Budget == nil || len(loads) == 0 {
		return loads
	}
	size := proto.Size(&peerpb.HeartbeatRequest{Loads: loads})
	if !x.opts.Budget.Allow(traffic.KindLoad, size) {
		return nil
	}
	return loads
}

// recordGrants records the shares that a peer lent or refused. A lease counts from
// sentAt, when the claim was sent, so that its holder never counts it longer than
// the lender.
func (x *Exchange) recordGrants(resp *peerpb.HeartbeatResponse, sentAt time.Time) {
	for _, grant := range resp.Grants {
		if grant.DurationMs == 0 {
			x.opts.Shares.RecordRefusal(grant.Backend, resp.From.Id)
			continue
		}
		duration := time.Duration(grant.DurationMs) * time.Millisecond
		x.opts.Shares.RecordGrant(grant.Backend, resp.From.Id, sentAt, duration, int(grant.GroupSize))
		x.opts.Home.Dispatch(grant.Backend)
	}
}

// fetchNewer fetches and offers the documents of which a peer holds a higher
// version than this daemon. A failure is logged.
func (x *Exchange) fetchNewer(ctx context.Context, address string, peerVersions []*peerpb.DocumentVersion) {
	ownVersions := x.versions()
	for _, version := range peerVersions {
		if !newer(version, ownVersions) {
			continue
		}
		doc, err := x.opts.Peers.FetchDocument(ctx, address, version.Name)
		if err == nil {
			err = x.offerFetched(doc)
		}
		if err != nil {
			x.opts.Log.Warn().Err(err).Str("document", version.Name).Msg("document of a peer not taken")
		}
	}
}

// newer reports whether version is above this daemon's version of the document. It
// returns false for a document that this daemon does not use, such as the overlay
// of another site.
func newer(version *peerpb.DocumentVersion, ownVersions []*peerpb.DocumentVersion) bool {
	for _, own := range ownVersions {
		if own.Name == version.Name {
			return version.Version > own.Version
		}
	}
	return false
}

// AllPeersContacted reports whether this daemon has a VM list and has sent at least
// one heartbeat to each peer that Run sends heartbeats to. A daemon waits for this
// before it serves, so that it does not start with an older configuration than a
// reachable peer holds. Peers that do not respond count as contacted.
func (x *Exchange) AllPeersContacted() bool {
	if x.opts.Directory.VMListVersion() == 0 {
		return false
	}
	for _, address := range x.addresses() {
		if !x.contacted.contains(address) {
			return false
		}
	}
	return true
}
