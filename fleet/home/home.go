// Package home runs requests on the backend servers that this daemon is the
// home of. The home counts exactly what it has in flight, and admits, queues
// or refuses; what it admits is bounded by the shares that are lent to it.
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

// Options configure a Home.
type Options struct {
	Self       lease.Holder
	Directory  *member.Directory
	Lender     *lease.Lender
	Shares     *lease.Shares
	Loads      *loadtable.Table
	Quarantine *quarantine.Table
	Stragglers *straggler.Set
	Estimator  *placement.TimeEstimator // learns how long engines take
	Client     *backend.Client
	Config     func() *dynamic.Config // in force; nil before the first
	Now        func() time.Time
	Observer   Observer
	Log        zerolog.Logger
	OnCrash    func() // called when a request has crashed a backend server
}

// releaseRepeat is how long a release is repeated to lenders.
const releaseRepeat = 3 * time.Second

// Observer hears what a home does; see package metric.
type Observer interface {
	QueueWait(workspace string, class dynamic.Class, d time.Duration)
}

// Home holds the runners of this daemon. It is safe for concurrent use.
type Home struct {
	opts Options
	ctx  context.Context // ends with the process

	mu       sync.Mutex
	runners  map[string]*runner
	released map[string]time.Time // backend servers given up, and when
	seq      uint64               // of load accounts

	polls sync.WaitGroup
}

// New returns a Home whose report loops end with ctx.
func New(ctx context.Context, opts Options) *Home {
	return &Home{
		opts:     opts,
		ctx:      ctx,
		runners:  make(map[string]*runner),
		released: make(map[string]time.Time),
	}
}

// Wait waits for the report loops to end.
func (h *Home) Wait() { h.polls.Wait() }

// Tick follows the directory and the configuration: it takes over backend
// servers that this daemon is now home of, gives up others, claims this
// daemon's own shares and computes the limits anew.
func (h *Home) Tick() {
	config := h.opts.Config()
	if config == nil {
		return
	}
	for _, server := range h.opts.Directory.Servers("") {
		h.follow(config, server.VM)
	}
	h.dropUnlisted()
	h.setLimits(config)
	h.claimOwn()
}

// follow brings one backend server's runner up to date.
func (h *Home) follow(config *dynamic.Config, vm platformapi.VM) {
	r, known := rulesOf(config, vm.Service)
	if !known {
		return
	}
	homeDaemon, found := h.opts.Directory.Home(vm.ID)
	mine := found && homeDaemon.ID == h.opts.Self.ID && !h.opts.Directory.Draining()

	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.runners[vm.ID]
	if n != nil && n.vm.Address != vm.Address {
		h.giveUpLocked(n)
		n = nil
	}
	if n == nil {
		if !mine {
			return
		}
		n = newRunner(h, vm, r)
		h.runners[vm.ID] = n
	}
	n.queue.SetLimit(r.maxInFlight)
	n.setListed(vm.State == platformapi.StateLeaving)
	switch {
	case mine && !n.homed.Load():
		h.takeOverLocked(n)
	case !mine && n.homed.Load():
		h.giveUpLocked(n)
	}
}

// takeOverLocked starts to serve a backend server. The caller holds h.mu.
func (h *Home) takeOverLocked(n *runner) {
	n.external.forget()
	n.homed.Store(true)
	ctx, cancel := context.WithCancel(h.ctx)
	n.stop = cancel
	h.polls.Go(func() { n.poll(ctx) })
}

// giveUpLocked stops admitting to a backend server and returns its shares.
// What is in flight goes on. The caller holds h.mu.
func (h *Home) giveUpLocked(n *runner) {
	if !n.homed.Swap(false) {
		return
	}
	n.stop()
	n.queue.Flush(n.closedError())
	h.opts.Shares.Drop(n.vm.ID)
	h.opts.Lender.Release(n.vm.ID, h.opts.Self)
	h.released[n.vm.ID] = h.opts.Now()
}

// dropUnlisted gives up backend servers that are no longer in the VM list.
func (h *Home) dropUnlisted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, n := range h.runners {
		if _, listed := h.opts.Directory.Server(id); listed {
			continue
		}
		h.giveUpLocked(n)
		if n.queue.Counts().InFlight == 0 {
			delete(h.runners, id)
		}
	}
}

// setLimits computes each backend server's limit from the mean load of its
// service.
func (h *Home) setLimits(config *dynamic.Config) {
	means := h.means()
	for _, n := range h.all() {
		r, known := rulesOf(config, n.vm.Service)
		if !known {
			continue
		}
		n.limit.Store(int64(r.limit(means[n.vm.Service])))
		n.queue.Dispatch()
	}
}

// limit returns the bound on one backend server's work when the service's
// servers have a mean load of mean.
func (r rules) limit(mean float64) int {
	if !r.model {
		return r.maxInFlight
	}
	bound := int(math.Ceil(r.loadFactor * mean))
	return min(max(bound, r.minInFlight), r.maxInFlight)
}

// means returns the mean load, in flight and queued, of each service's backend
// servers that are not leaving.
func (h *Home) means() map[string]float64 {
	h.opts.Loads.Merge(h.Loads())
	sums := h.opts.Loads.Summaries()
	total := make(map[string]float64)
	count := make(map[string]float64)
	for _, server := range h.opts.Directory.Servers("") {
		sum := sums[server.ID]
		if sum.Leaving || server.State == platformapi.StateLeaving {
			continue
		}
		count[server.Service]++
		total[server.Service] += float64(sum.InFlight + sum.Queued)
	}
	for service, n := range count {
		total[service] /= n
	}
	return total
}

// claimOwn asks this daemon's own lender for its shares.
func (h *Home) claimOwn() {
	for _, n := range h.all() {
		if !n.homed.Load() {
			continue
		}
		group := h.opts.Directory.Lenders(n.vm.ID)
		sent := h.opts.Now()
		decision := h.opts.Lender.Grant(n.vm.ID, h.opts.Self)
		if decision.Granted {
			h.opts.Shares.RecordGrant(n.vm.ID, h.opts.Self.ID, sent, decision.Duration, len(group))
		}
		n.queue.Dispatch()
	}
}

// Claims returns the backend servers whose shares this daemon asks of a lender
// now. A share that is held is claimed anew well before its lease ends.
func (h *Home) Claims(lender string) []*peerpb.Claim {
	var claims []*peerpb.Claim
	for _, n := range h.all() {
		lends := slices.Contains(h.opts.Directory.Lenders(n.vm.ID), lender)
		if n.homed.Load() && lends && h.opts.Shares.ClaimDue(n.vm.ID, lender) {
			claims = append(claims, &peerpb.Claim{Backend: n.vm.ID})
		}
	}
	return claims
}

// Dispatch lets a backend server's queue use shares that have just been granted.
func (h *Home) Dispatch(backendID string) {
	if n := h.runner(backendID); n != nil {
		n.queue.Dispatch()
	}
}

// Released returns the backend servers given up of late that are not homed
// now. Their shares may be lent to others. A lender that misses the message
// lends the share when the lease has ended.
func (h *Home) Released() []string {
	now := h.opts.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var released []string
	for id, at := range h.released {
		n := h.runners[id]
		switch {
		case now.Sub(at) > releaseRepeat || n != nil && n.homed.Load():
			delete(h.released, id)
		default:
			released = append(released, id)
		}
	}
	return released
}

// BackendCount returns of how many backend servers this daemon is home.
func (h *Home) BackendCount() int {
	count := 0
	for _, n := range h.all() {
		if n.homed.Load() {
			count++
		}
	}
	return count
}

// Ready reports whether each backend server that this daemon is home of may
// get work, but for those that are leaving or do not answer.
func (h *Home) Ready() bool {
	for _, n := range h.all() {
		waiting := !n.external.known() || n.open() && n.allowed() <= 0
		if n.homed.Load() && !n.leaving() && n.misses.Load() == 0 && waiting {
			return false
		}
	}
	return true
}

// runner returns the runner of a backend server; nil when there is none.
func (h *Home) runner(id string) *runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runners[id]
}

// all returns all runners.
func (h *Home) all() []*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*runner, 0, len(h.runners))
	for _, n := range h.runners {
		all = append(all, n)
	}
	return all
}

// MergeLoads takes the accounts of other homes: their loads, and their times between
// tokens, against which this home's own servers are compared.
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

// Loads returns this daemon's account of each backend server that it is home
// of or still has work on.
func (h *Home) Loads() []*peerpb.BackendLoad {
	h.mu.Lock()
	h.seq++
	seq := h.seq
	h.mu.Unlock()

	var loads []*peerpb.BackendLoad
	for _, n := range h.all() {
		counts := n.queue.Counts()
		if !n.homed.Load() && counts.InFlight == 0 {
			continue
		}
		loads = append(loads, &peerpb.BackendLoad{
			Backend:        n.vm.ID,
			Home:           h.opts.Self.ID,
			Incarnation:    h.opts.Self.Incarnation,
			Seq:            seq,
			InFlight:       uint32(counts.InFlight),
			Queued:         uint32(counts.Queued),
			Limit:          uint32(max(0, n.allowed())),
			WeightPermille: uint32(loadtable.FullWeight * n.detector().Weight(n.vm.ID)),
			Leaving:        n.leaving(),
			PerTokenUs:     uint32(n.detector().PerToken(n.vm.ID).Microseconds()),
		})
	}
	return loads
}

// Engines returns the model engines that this daemon is home of; see package
// order.
func (h *Home) Engines() []order.Engine {
	config := h.opts.Config()
	var engines []order.Engine
	for _, n := range h.all() {
		r, known := rulesOf(config, n.vm.Service)
		instance := n.instance.Load()
		if !known || !r.model || !n.open() || instance == nil {
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

// HoldsMajority reports whether this daemon now holds the majority of a backend
// server's shares.
func (h *Home) HoldsMajority(backendID string) bool {
	return h.opts.Shares.Fraction(backendID).HasMajority()
}
