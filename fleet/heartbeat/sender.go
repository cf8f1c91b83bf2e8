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

// callTimeout bounds one heartbeat, beyond its interval.
const callTimeout = time.Second

// PeerClient calls peers.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	FetchDocument(ctx context.Context, address, name string) (*peerpb.Document, error)
}

// Run sends heartbeats until ctx ends, with one goroutine for each peer.
func (x *Exchange) Run(ctx context.Context) {
	var wg sync.WaitGroup
	loops := make(map[string]context.CancelFunc)
	for ctx.Err() == nil {
		addresses := x.addresses()
		for _, address := range addresses {
			if _, runs := loops[address]; runs {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			loops[address] = cancel
			wg.Go(func() { x.follow(loopCtx, address) })
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

// addresses returns the peers to send heartbeats to: all while they are few.
// In a larger fleet: the lenders of the backend servers that this daemon is or
// may become home of, then others in rendezvous order.
func (x *Exchange) addresses() []string {
	published := make(map[string]string) // address by id
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
		ids = x.closest(ids)
	}
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		addresses = append(addresses, published[id])
	}
	return addresses
}

// closest returns the peers that matter most to this daemon. All that lend it
// shares are among them, also above MaxPeers.
func (x *Exchange) closest(ids []string) []string {
	lenders := make(map[string]struct{})
	for _, server := range x.opts.Directory.Servers("") {
		group := x.opts.Directory.Lenders(server.ID)
		if home, ok := x.opts.Directory.Home(server.ID); !ok || home.ID != x.opts.Self.Id {
			continue
		}
		for _, id := range group {
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

// follow sends heartbeats to one address until ctx ends.
func (x *Exchange) follow(ctx context.Context, address string) {
	var to recipient
	for ctx.Err() == nil {
		woken := x.wake.next()
		if err := x.beat(ctx, address, &to); err != nil {
			to.loads.reset()
		}
		x.asked.note(address)
		select {
		case <-ctx.Done():
		case <-woken:
		case <-time.After(x.opts.Interval*3/4 + rand.N(x.opts.Interval/2)):
		}
	}
}

// Trigger sends a heartbeat to each peer at once, for news that must not wait.
func (x *Exchange) Trigger() { x.wake.fire() }

// recipient is what the sender knows of one peer.
type recipient struct {
	id          string // empty: not known yet
	incarnation uint64
	loads       loadDelta
}

// heard notes the answer of a peer.
func (r *recipient) heard(from *peerpb.Identity) {
	if from.Incarnation != r.incarnation {
		r.loads.reset()
	}
	r.id = from.Id
	r.incarnation = from.Incarnation
}

// beat sends one heartbeat. Claims go only to a peer whose id is known.
func (x *Exchange) beat(ctx context.Context, address string, to *recipient) error {
	req := &peerpb.HeartbeatRequest{
		From:        x.opts.Self,
		Seq:         x.seq.Add(1),
		Draining:    x.opts.Directory.Draining(),
		Claims:      x.opts.Home.Claims(to.id),
		Loads:       x.affordable(to.loads.news(x.opts.Home.Loads(), x.opts.Now())),
		Quarantined: x.opts.Quarantine.Export(maxQuarantined),
		Released:    x.opts.Home.Released(),
	}
	for _, backend := range req.Released {
		// From here on the peer may lend its share to another holder.
		x.opts.Shares.RecordRefusal(backend, to.id)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := x.opts.Now()
	resp, err := x.opts.Peers.Heartbeat(callCtx, address, req)
	if err != nil {
		return err
	}
	if resp.From == nil {
		return &MissingIdentityError{}
	}
	to.loads.ack(req.Loads, sent)
	to.heard(resp.From)
	x.opts.Directory.RecordMessage(resp.From, resp.Draining)
	x.opts.Home.MergeLoads(resp.Loads)
	x.opts.Quarantine.Import(resp.Quarantined)
	x.noteGrants(resp, sent)
	x.fetchNewer(ctx, address, resp.Documents)
	return nil
}

// affordable returns the loads if the budget of control traffic allows them,
// else none: peers plan on older figures for a while, while claims, grants and
// quarantined requests always go.
func (x *Exchange) affordable(loads []*peerpb.BackendLoad) []*peerpb.BackendLoad {
	if x.opts.Budget == nil || len(loads) == 0 {
		return loads
	}
	size := proto.Size(&peerpb.HeartbeatRequest{Loads: loads})
	if !x.opts.Budget.Allow(traffic.KindLoad, size) {
		return nil
	}
	return loads
}

// noteGrants counts the shares that a peer lent or refused.
func (x *Exchange) noteGrants(resp *peerpb.HeartbeatResponse, sent time.Time) {
	for _, grant := range resp.Grants {
		if grant.DurationMs == 0 {
			x.opts.Shares.RecordRefusal(grant.Backend, resp.From.Id)
			continue
		}
		duration := time.Duration(grant.DurationMs) * time.Millisecond
		x.opts.Shares.RecordGrant(grant.Backend, resp.From.Id, sent, duration, int(grant.GroupSize))
		x.opts.Home.Dispatch(grant.Backend)
	}
}

// fetchNewer takes documents of which a peer holds a higher version.
func (x *Exchange) fetchNewer(ctx context.Context, address string, theirs []*peerpb.DocumentVersion) {
	ours := x.versions()
	for _, their := range theirs {
		if !newer(their, ours) {
			continue
		}
		doc, err := x.opts.Peers.FetchDocument(ctx, address, their.Name)
		if err == nil {
			err = x.take(doc)
		}
		if err != nil {
			x.opts.Log.Warn().Err(err).Str("document", their.Name).Msg("document of a peer not taken")
		}
	}
}

// newer reports whether a version is above ours. A document that is not known
// here, such as another site's overlay, is of no use.
func newer(their *peerpb.DocumentVersion, ours []*peerpb.DocumentVersion) bool {
	for _, our := range ours {
		if our.Name == their.Name {
			return their.Version > our.Version
		}
	}
	return false
}

// AllPeersContacted reports whether each peer has been asked at least once since the
// VM list is known, so that no peer holds a configuration that this daemon
// could have learned and has not.
func (x *Exchange) AllPeersContacted() bool {
	if x.opts.Directory.VMListVersion() == 0 {
		return false
	}
	for _, address := range x.addresses() {
		if !x.asked.has(address) {
			return false
		}
	}
	return true
}
