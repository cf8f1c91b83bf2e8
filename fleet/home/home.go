// Package home executes requests on the backend servers whose home is this daemon.
//
// The home of a backend server is the daemon that admits the requests to it. It counts
// its own requests in flight and admits, queues or refuses new ones. It may use only the
// part of the load limit for which it holds shares; see package lease. Since a share is
// counted by at most one daemon, several daemons that consider themselves the home of a
// backend server do not admit more than its load limit in total.
//
// Home is safe for concurrent use.
package home

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/order"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// Options configures a Home.
type Options struct {
	Self       lease.Holder
	Directory  *member.Directory
	Lender     *lease.Lender
	Shares     *lease.Shares
	Loads      *loadtable.Table
	Quarantine *quarantine.Table
	Stragglers *straggler.Set
	Estimator  *placement.TimeEstimator // receives the times of completed responses
	Client     *backend.Client
	Config     func() *dynamic.Config // returns the configuration in force, nil before the first one
	Now        func() time.Time
	Observer   Observer
	Log        zerolog.Logger
	OnCrash    func() // called after a request has crashed a backend server
}

// releaseRepeatTime is the time for which released backend servers are reported to the
// lenders, in case messages are lost.
const releaseRepeatTime = 3 * time.Second

// Observer receives measurements of a Home, for metrics.
type Observer interface {
	// QueueWait is called with the queue wait of each admitted request.
	QueueWait(workspace string, class dynamic.Class, d time.Duration)
}

// Home executes requests on the backend servers whose home is this daemon. It is safe for
// concurrent use.
type Home struct {
	opts Options
	ctx  context.Context // done when the process shuts down

	mu       sync.Mutex
	runners  map[string]*runner
	released map[string]time.Time // release times of the backend servers released recently
	seq      uint64               // of the load reports to peers

	polls sync.WaitGroup
}

// New returns a Home. Its goroutines that read load reports end when ctx is done.
func New(ctx context.Context, opts Options) *Home {
	return &Home{
		opts:     opts,
		ctx:      ctx,
		runners:  make(map[string]*runner),
		released: make(map[string]time.Time),
	}
}

// Wait waits until the goroutines that read load reports have ended.
func (h *Home) Wait() { h.polls.Wait() }

// Tick applies the current directory and configuration. It starts to serve the backend
// servers whose home this daemon has become, releases those whose home it no longer is,
// recomputes the limits, and claims the shares that this daemon itself lends. It must be
// called periodically.
func (h *Home) Tick() {
	config := h.opts.Config()
	if config == nil {
		return
	}
	for _, server := range h.opts.Directory.Servers("") {
		h.updateRunner(config, server.VM)
	}
	h.removeUnlisted()
	h.setLimits(config)
	h.claimOwnShares()
}

// updateRunner creates, starts, stops or updates the runner of a backend server.
func (h *Home) updateRunner(config *dynamic.Config, vm platformapi.VM) {
	r, known := rulesOf(config, vm.Service)
	if !known {
		return
	}
	homeDaemon, found := h.opts.Directory.Home(vm.ID)
	isHome := found && homeDaemon.ID == h.opts.Self.ID && !h.opts.Directory.Draining()

	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.runners[vm.ID]
	if n != nil && n.vm.Address != vm.Address {
		h.stopHomeLocked(n)
		n = nil
	}
	if n == nil {
		if !isHome {
			return
		}
		n = newRunner(h, vm, r)
		h.runners[vm.ID] = n
	}
	n.queue.SetLimit(r.maxInFlight)
	n.setLeavingListed(vm.State == platformapi.StateLeaving)
	switch {
	case isHome && !n.isHome.Load():
		h.startHomeLocked(n)
	case !isHome && n.isHome.Load():
		h.stopHomeLocked(n)
	}
}

// startHomeLocked makes this daemon the home of a backend server. The caller holds h.mu.
func (h *Home) startHomeLocked(n *runner) {
	n.external.reset()
	n.isHome.Store(true)
	ctx, cancel := context.WithCancel(h.ctx)
	n.stop = cancel
	h.polls.Go(func() { n.poll(ctx) })
}

// stopHomeLocked stops admitting requests to a backend server and releases its shares.
// Requests in flight continue. The caller holds h.mu.
func (h *Home) stopHomeLocked(n *runner) {
	if !n.isHome.Swap(false) {
		return
	}
	n.stop()
	n.queue.Flush(n.unavailableError())
	h.opts.Shares.Drop(n.vm.ID)
	h.opts.Lender.Release(n.vm.ID, h.opts.Self)
	h.released[n.vm.ID] = h.opts.Now()
}

// removeUnlisted stops and removes the runners of backend servers that are not in the VM
// list. A runner with requests in flight is removed after they have ended.
func (h *Home) removeUnlisted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, n := range h.runners {
		if _, listed := h.opts.Directory.Server(id); listed {
			continue
		}
		h.stopHomeLocked(n)
		if n.queue.Counts().InFlight == 0 {
			delete(h.runners, id)
		}
	}
}

// setLimits computes the load limit of each backend server from the mean load of its
// service.
func (h *Home) setLimits(config *dynamic.Config) {
	means := h.meanLoads()
	for _, n := range h.allRunners() {
		r, known := rulesOf(config, n.vm.Service)
		if !known {
			continue
		}
		n.fleetLimit.Store(int64(r.limit(means[n.vm.Service])))
		n.queue.Dispatch()
	}
}

// limit returns the load limit of a backend server, given the mean load of the backend
// servers of its service.
func (r rules) limit(mean float64) int {
	if !r.model {
		return r.maxInFlight
	}
	bound := int(math.Ceil(r.loadFactor * mean))
	return min(max(bound, r.minInFlight), r.maxInFlight)
}

// meanLoads returns the mean number of requests in flight and queued per backend server
// for each service. Backend servers that are leaving are left out.
func (h *Home) meanLoads() map[string]float64 {
	h.opts.Loads.Merge(h.Loads())
	summaries := h.opts.Loads.Summaries()
	total := make(map[string]float64)
	count := make(map[string]float64)
	for _, server := range h.opts.Directory.Servers("") {
		summary := summaries[server.ID]
		if summary.Leaving || server.State == platformapi.StateLeaving {
			continue
		}
		count[server.Service]++
		total[server.Service] += float64(summary.InFlight + summary.Queued)
	}
	for service, n := range count {
		total[service] /= n
	}
	return total
}

// claimOwnShares claims the shares that this daemon itself lends.
func (h *Home) claimOwnShares() {
	for _, n := range h.allRunners() {
		if !n.isHome.Load() {
			continue
		}
		lenders := h.opts.Directory.Lenders(n.vm.ID)
		sent := h.opts.Now()
		decision := h.opts.Lender.Grant(n.vm.ID, h.opts.Self)
		if decision.Granted {
			h.opts.Shares.RecordGrant(n.vm.ID, h.opts.Self.ID, sent, decision.Duration, len(lenders))
		}
		n.queue.Dispatch()
	}
}

// Claims returns claims for the shares that are to be requested from a lender now. They
// include held shares whose lease is due for renewal.
func (h *Home) Claims(lender string) []*peerpb.Claim {
	var claims []*peerpb.Claim
	for _, n := range h.allRunners() {
		isLender := slices.Contains(h.opts.Directory.Lenders(n.vm.ID), lender)
		if n.isHome.Load() && isLender && h.opts.Shares.ClaimDue(n.vm.ID, lender) {
			claims = append(claims, &peerpb.Claim{Backend: n.vm.ID})
		}
	}
	return claims
}

// Dispatch admits queued requests of a backend server. It must be called after new shares
// of the backend server have been granted.
func (h *Home) Dispatch(backendID string) {
	if n := h.runner(backendID); n != nil {
		n.queue.Dispatch()
	}
}

// Released returns the backend servers that this daemon has recently stopped serving as
// home. Lenders may grant their shares to others. A lender that does not receive the
// message can grant the share after the lease has expired.
func (h *Home) Released() []string {
	now := h.opts.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var released []string
	for id, at := range h.released {
		n := h.runners[id]
		switch {
		case now.Sub(at) > releaseRepeatTime || n != nil && n.isHome.Load():
			delete(h.released, id)
		default:
			released = append(released, id)
		}
	}
	return released
}

// BackendCount returns the number of backend servers whose home is this daemon.
func (h *Home) BackendCount() int {
	count := 0
	for _, n := range h.allRunners() {
		if n.isHome.Load() {
			count++
		}
	}
	return count
}

// Ready reports whether requests can be admitted to all backend servers whose home is this
// daemon, except those that are leaving or whose last load report failed.
func (h *Home) Ready() bool {
	for _, n := range h.allRunners() {
		waiting := !n.external.known() || n.available() && n.localLimit() <= 0
		if n.isHome.Load() && !n.leaving() && n.failedReports.Load() == 0 && waiting {
			return false
		}
	}
	return true
}

// runner returns the runner of a backend server, or nil if there is none.
func (h *Home) runner(id string) *runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runners[id]
}

// allRunners returns all runners.
func (h *Home) allRunners() []*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*runner, 0, len(h.runners))
	for _, n := range h.runners {
		all = append(all, n)
	}
	return all
}

// MergeLoads merges load reports of other homes into the load table. Their times per token
// are passed to the straggler detectors, which compare this daemon's own backend servers
// with them.
func (h *Home) MergeLoads(loads []*peerpb.BackendLoad) {
	h.opts.Loads.Merge(loads)
	for _, load := range loads {
		server, known := h.opts.Directory.Server(load.Backend)
		if known && load.PerTokenUs > 0 {
			perToken := time.Duration(load.PerTokenUs) * time.Microsecond
			h.opts.Stragglers.Detector(server.Service).Import(load.Backend, perToken)
		}
	}
}

// Loads returns the load reports of this daemon, one for each backend server whose home it
// is or on which it still has requests in flight.
func (h *Home) Loads() []*peerpb.BackendLoad {
	h.mu.Lock()
	h.seq++
	seq := h.seq
	h.mu.Unlock()

	var loads []*peerpb.BackendLoad
	for _, n := range h.allRunners() {
		counts := n.queue.Counts()
		if !n.isHome.Load() && counts.InFlight == 0 {
			continue
		}
		loads = append(loads, &peerpb.BackendLoad{
			Backend:        n.vm.ID,
			Home:           h.opts.Self.ID,
			Incarnation:    h.opts.Self.Incarnation,
			Seq:            seq,
			InFlight:       uint32(counts.InFlight),
			Queued:         uint32(counts.Queued),
			Limit:          uint32(max(0, n.localLimit())),
			WeightPermille: uint32(loadtable.FullWeight * n.detector().Weight(n.vm.ID)),
			Leaving:        n.leaving(),
			PerTokenUs:     uint32(n.detector().PerToken(n.vm.ID).Microseconds()),
		})
	}
	return loads
}

// Engines implements order.Homes. It returns the available model engines whose home is
// this daemon.
func (h *Home) Engines() []order.Engine {
	config := h.opts.Config()
	var engines []order.Engine
	for _, n := range h.allRunners() {
		r, known := rulesOf(config, n.vm.Service)
		instance := n.instance.Load()
		if !known || !r.model || !n.available() || instance == nil {
			continue
		}
		engines = append(engines, order.Engine{
			ID:       n.vm.ID,
			Address:  n.vm.Address,
			Model:    n.vm.Service,
			Instance: *instance,
		})
	}
	return engines
}

// HoldsMajority implements order.Homes. It reports whether this daemon now holds the
// majority of the shares of a backend server.
func (h *Home) HoldsMajority(backendID string) bool {
	return h.opts.Shares.Fraction(backendID).HasMajority()
}
