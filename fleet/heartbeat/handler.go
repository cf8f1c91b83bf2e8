// Package heartbeat implements the heartbeats that daemons exchange. They carry
// liveness, lease claims and grants, loads, quarantined requests and document
// versions.
//
// Loads are left out while the traffic budget is spent; all other parts are sent
// in every heartbeat. The claims and releases of a heartbeat that arrives out of
// order are ignored; its other parts are not.
package heartbeat

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/fleet/home"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// DocumentVMs is the document name of the VM list in messages between peers.
const DocumentVMs = "vms"

// maxQuarantined is the maximum number of quarantined requests in one message.
const maxQuarantined = 32

// TicketVoider voids tickets of requests that this daemon executes. It must be
// safe for concurrent use.
type TicketVoider interface {
	// Void voids a ticket and returns its state.
	Void(ticket string) peerpb.VoidTicketResponse_State
}

// Budget limits control traffic; see package traffic.
type Budget interface {
	// Allow reports whether an item of the given size in bytes may be sent now.
	Allow(kind traffic.Kind, bytes int) bool
}

// Options configure an Exchange.
type Options struct {
	Self       *peerpb.Identity
	Directory  *member.Directory
	Adopter    *adopt.Adopter
	Lender     *lease.Lender
	Shares     *lease.Shares
	Home       *home.Home
	Quarantine *quarantine.Table
	Tickets    TicketVoider
	Peers      PeerClient
	Budget     Budget        // nil: no limit
	Seeds      []string      // peer addresses used while the VM list names no other daemon
	Interval   time.Duration // mean time between heartbeats to one peer
	MaxPeers   int           // limit on heartbeat recipients; see preferredPeers
	Now        func() time.Time
	Log        zerolog.Logger
}

// Exchange responds to the heartbeats of peers and sends this daemon's own. It is
// safe for concurrent use.
type Exchange struct {
	opts      Options
	vmList    vmListCache
	contacted contactedPeers
	wake      wakeup
	seq       atomic.Uint64  // of heartbeats sent
	order     heartbeatOrder // of heartbeats received
}

// New returns an Exchange. It sends no heartbeats before Run is called.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, contacted: newContactedPeers(), wake: newWakeup()}
}

// Heartbeat handles a heartbeat of a peer. It returns a MissingIdentityError if the
// heartbeat does not name its sender.
func (x *Exchange) Heartbeat(ctx context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if req.From == nil {
		return nil, &MissingIdentityError{}
	}
	x.opts.Directory.RecordMessage(req.From, req.Draining)
	x.opts.Home.MergeLoads(req.Loads)
	x.opts.Quarantine.Merge(req.Quarantined)
	holder := lease.Holder{ID: req.From.Id, Incarnation: req.From.Incarnation}
	var grants []*peerpb.Grant
	x.order.runInOrder(req, func() {
		for _, backend := range req.Released {
			x.opts.Lender.Release(backend, holder)
		}
		grants = x.decideClaims(holder, req.Claims)
	})
	return &peerpb.HeartbeatResponse{
		From:        x.opts.Self,
		Draining:    x.opts.Directory.Draining(),
		Grants:      grants,
		Quarantined: x.opts.Quarantine.Export(maxQuarantined),
		Documents:   x.versions(),
	}, nil
}

// MissingIdentityError reports that a heartbeat or its response does not name the
// daemon that sent it.
type MissingIdentityError struct{}

// Error implements error.
func (*MissingIdentityError) Error() string { return "heartbeat: message names no daemon" }

// decideClaims grants or refuses a peer's claims. It lends a share only to the
// daemon that this daemon considers the home of the backend server.
func (x *Exchange) decideClaims(holder lease.Holder, claims []*peerpb.Claim) []*peerpb.Grant {
	grants := make([]*peerpb.Grant, 0, len(claims))
	for _, claim := range claims {
		grants = append(grants, x.decideClaim(holder, claim.Backend))
	}
	return grants
}

// decideClaim grants or refuses one claim. The grant of a refused claim has a
// duration of zero and names the home or the holder of the share, if known.
func (x *Exchange) decideClaim(holder lease.Holder, backend string) *peerpb.Grant {
	grant := &peerpb.Grant{
		Backend:   backend,
		GroupSize: uint32(len(x.opts.Directory.Lenders(backend))),
	}
	current, ok := x.opts.Directory.Home(backend)
	if !ok || current.ID != holder.ID {
		grant.Holder = current.ID
		return grant
	}
	decision := x.opts.Lender.Grant(backend, holder)
	if decision.Granted {
		grant.DurationMs = uint32(decision.Duration.Milliseconds())
	}
	grant.Holder = decision.Holder.ID
	return grant
}

// versions returns the versions of the documents and of the VM list that this
// daemon holds.
func (x *Exchange) versions() []*peerpb.DocumentVersion {
	held := x.opts.Adopter.Documents()
	versions := make([]*peerpb.DocumentVersion, 0, len(held)+1)
	for _, doc := range held {
		versions = append(versions, &peerpb.DocumentVersion{Name: doc.Name, Version: doc.Version})
	}
	vmList := &peerpb.DocumentVersion{Name: DocumentVMs, Version: x.opts.Directory.VMListVersion()}
	return append(versions, vmList)
}

// FetchDocument returns a document to a peer. It returns an UnknownDocumentError if
// this daemon does not hold the document.
func (x *Exchange) FetchDocument(ctx context.Context, req *peerpb.FetchDocumentRequest) (*peerpb.Document, error) {
	if req.Name == DocumentVMs {
		return x.vmList.document()
	}
	for _, doc := range x.opts.Adopter.Documents() {
		if doc.Name == req.Name {
			return &peerpb.Document{Name: doc.Name, Version: doc.Version, Body: []byte(doc.Body)}, nil
		}
	}
	return nil, &UnknownDocumentError{Name: req.Name}
}

// VoidTicket voids a ticket for a peer and returns its state.
func (x *Exchange) VoidTicket(ctx context.Context, req *peerpb.VoidTicketRequest) (*peerpb.VoidTicketResponse, error) {
	return &peerpb.VoidTicketResponse{State: x.opts.Tickets.Void(req.Ticket)}, nil
}

// UnknownDocumentError reports that there is no document of the requested name.
type UnknownDocumentError struct {
	Name string
}

// Error implements error.
func (e *UnknownDocumentError) Error() string { return "heartbeat: no document " + e.Name }

// OfferDocument offers a document for adoption and returns the highest version
// held; see platform.Sink.
func (x *Exchange) OfferDocument(doc *platformapi.Document) uint64 {
	return x.opts.Adopter.Offer(doc)
}

// OfferVMList adopts a VM list if it is newer than the current one and returns the
// version of the VM list in use; see platform.Sink.
func (x *Exchange) OfferVMList(list *platformapi.VMList) uint64 {
	if x.opts.Directory.SetVMList(list) {
		x.vmList.set(list)
		x.opts.Log.Info().Uint64("version", list.Version).Int("vms", len(list.VMs)).Msg("VM list in use")
	}
	return x.opts.Directory.VMListVersion()
}

// watchersPerZone is the number of daemons per availability zone that watch the
// platform.
const watchersPerZone = 2

// IsWatcher reports whether this daemon is one of the watchers of its availability
// zone, which are the live daemons with the lowest IDs that are not draining; see
// platform.Sink.
func (x *Exchange) IsWatcher() bool {
	preceding := 0
	for _, daemon := range x.opts.Directory.Daemons() {
		if daemon.ID < x.opts.Self.Id && daemon.Zone == x.opts.Self.Zone && daemon.Alive && !daemon.Draining {
			preceding++
		}
	}
	return preceding < watchersPerZone
}

// offerFetched offers a document or VM list that was fetched from a peer.
func (x *Exchange) offerFetched(doc *peerpb.Document) error {
	if doc.Name != DocumentVMs {
		x.OfferDocument(&platformapi.Document{Name: doc.Name, Version: doc.Version, Body: string(doc.Body)})
		return nil
	}
	var list platformapi.VMList
	if err := json.Unmarshal(doc.Body, &list); err != nil {
		return err
	}
	x.OfferVMList(&list)
	return nil
}
