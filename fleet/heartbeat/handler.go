// Package heartbeat exchanges what daemons know: liveness, lease claims and
// grants, loads, quarantined requests and document versions.
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

// DocumentVMs is the name under which peers ask for the VM list.
const DocumentVMs = "vms"

// maxQuarantined bounds the quarantined requests in one message.
const maxQuarantined = 32

// TicketVoider withdraws tickets of this daemon.
type TicketVoider interface {
	Void(ticket string) peerpb.VoidTicketResponse_State
}

// Budget bounds what control traffic costs; see package traffic.
type Budget interface {
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
	Budget     Budget   // nil: no bound on what heartbeats cost
	Seeds      []string // peer addresses tried besides the VM list
	Interval   time.Duration
	MaxPeers   int
	Now        func() time.Time
	Log        zerolog.Logger
}

// Exchange is this daemon's part in the heartbeats. It answers those of peers
// and sends its own.
type Exchange struct {
	opts  Options
	list  listCache
	asked askedPeers
	wake  wakeup
	seq   atomic.Uint64 // of heartbeats sent
	order arrivals      // of heartbeats answered
}

// New returns an Exchange.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, asked: newAskedPeers(), wake: newWakeup()}
}

// Heartbeat answers a peer's heartbeat.
func (x *Exchange) Heartbeat(ctx context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if req.From == nil {
		return nil, &MissingIdentityError{}
	}
	x.opts.Directory.RecordMessage(req.From, req.Draining)
	x.opts.Home.MergeLoads(req.Loads)
	x.opts.Quarantine.Import(req.Quarantined)
	holder := lease.Holder{ID: req.From.Id, Incarnation: req.From.Incarnation}
	var grants []*peerpb.Grant
	x.order.inOrder(req, func() {
		for _, backend := range req.Released {
			x.opts.Lender.Release(backend, holder)
		}
		grants = x.grants(holder, req.Claims)
	})
	return &peerpb.HeartbeatResponse{
		From:        x.opts.Self,
		Draining:    x.opts.Directory.Draining(),
		Grants:      grants,
		Quarantined: x.opts.Quarantine.Export(maxQuarantined),
		Documents:   x.versions(),
	}, nil
}

// MissingIdentityError tells that a heartbeat or its answer names no daemon.
type MissingIdentityError struct{}

// Error implements error.
func (*MissingIdentityError) Error() string { return "heartbeat: message names no daemon" }

// grants decides about a peer's claims. A share is lent only to the daemon
// that this one takes for the home.
func (x *Exchange) grants(holder lease.Holder, claims []*peerpb.Claim) []*peerpb.Grant {
	grants := make([]*peerpb.Grant, 0, len(claims))
	for _, claim := range claims {
		grants = append(grants, x.grant(holder, claim.Backend))
	}
	return grants
}

// grant decides about one claim.
func (x *Exchange) grant(holder lease.Holder, backend string) *peerpb.Grant {
	grant := &peerpb.Grant{
		Backend:   backend,
		GroupSize: uint32(len(x.opts.Directory.Lenders(backend))),
	}
	taken, ok := x.opts.Directory.Home(backend)
	if !ok || taken.ID != holder.ID {
		grant.Holder = taken.ID
		return grant
	}
	decision := x.opts.Lender.Grant(backend, holder)
	if decision.Granted {
		grant.DurationMs = uint32(decision.Duration.Milliseconds())
	}
	grant.Holder = decision.Holder.ID
	return grant
}

// versions returns the versions of the documents that this daemon holds.
func (x *Exchange) versions() []*peerpb.DocumentVersion {
	held := x.opts.Adopter.Documents()
	versions := make([]*peerpb.DocumentVersion, 0, len(held)+1)
	for _, doc := range held {
		versions = append(versions, &peerpb.DocumentVersion{Name: doc.Name, Version: doc.Version})
	}
	list := &peerpb.DocumentVersion{Name: DocumentVMs, Version: x.opts.Directory.VMListVersion()}
	return append(versions, list)
}

// FetchDocument answers a peer that asks for a document.
func (x *Exchange) FetchDocument(ctx context.Context, req *peerpb.FetchDocumentRequest) (*peerpb.Document, error) {
	if req.Name == DocumentVMs {
		return x.list.document()
	}
	for _, doc := range x.opts.Adopter.Documents() {
		if doc.Name == req.Name {
			return &peerpb.Document{Name: doc.Name, Version: doc.Version, Body: []byte(doc.Body)}, nil
		}
	}
	return nil, &UnknownDocumentError{Name: req.Name}
}

// VoidTicket answers a peer that wants a ticket withdrawn.
func (x *Exchange) VoidTicket(ctx context.Context, req *peerpb.VoidTicketRequest) (*peerpb.VoidTicketResponse, error) {
	return &peerpb.VoidTicketResponse{State: x.opts.Tickets.Void(req.Ticket)}, nil
}

// UnknownDocumentError tells that no document has the name asked for.
type UnknownDocumentError struct {
	Name string
}

// Error implements error.
func (e *UnknownDocumentError) Error() string { return "heartbeat: no document " + e.Name }

// OfferDocument takes a document from the platform; see platform.Sink.
func (x *Exchange) OfferDocument(doc *platformapi.Document) uint64 {
	return x.opts.Adopter.Offer(doc)
}

// OfferVMList takes the VM list from the platform; see platform.Sink.
func (x *Exchange) OfferVMList(list *platformapi.VMList) uint64 {
	if x.opts.Directory.SetVMList(list) {
		x.list.set(list)
		x.opts.Log.Info().Uint64("version", list.Version).Int("vms", len(list.VMs)).Msg("VM list in use")
	}
	return x.opts.Directory.VMListVersion()
}

// watchersPerZone is how many daemons of an availability zone hold a waiting
// watch at the platform.
const watchersPerZone = 2

// IsWatcher reports whether this daemon is one of its zone's watchers; see
// platform.Sink.
func (x *Exchange) IsWatcher() bool {
	ahead := 0
	for _, daemon := range x.opts.Directory.Daemons() {
		if daemon.ID < x.opts.Self.Id && daemon.Zone == x.opts.Self.Zone && daemon.Alive && !daemon.Draining {
			ahead++
		}
	}
	return ahead < watchersPerZone
}

// take offers a document that came from a peer.
func (x *Exchange) take(doc *peerpb.Document) error {
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
