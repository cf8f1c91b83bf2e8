package home

import (
	"context"
	"sync/atomic"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/admission"
	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/platformapi"
)

// Times of load reports.
const (
	reportInterval    = 500 * time.Millisecond
	unsettledInterval = 100 * time.Millisecond // while reports do not cover all
	reportTimeout     = time.Second
	maxMisses         = 2 // failed reports in a row after which a server gets no work
)

// rules are the parts of the configuration that concern one backend server.
type rules struct {
	model        bool
	loadFactor   float64
	minInFlight  int
	maxInFlight  int
	shortReserve int
	queueTimeout time.Duration
	deadline     time.Duration
}

// rulesOf returns the rules of a service, which is a model or a plain service.
func rulesOf(config *dynamic.Config, service string) (rules, bool) {
	if config == nil {
		return rules{}, false
	}
	if m, ok := config.Models[service]; ok {
		return rules{
			model:        true,
			loadFactor:   m.LoadFactor,
			minInFlight:  m.MinInFlight,
			maxInFlight:  m.MaxInFlight,
			shortReserve: m.ShortReserve,
			queueTimeout: m.QueueTimeout,
			deadline:     m.Deadline,
		}, true
	}
	if s, ok := config.Services[service]; ok {
		return rules{
			minInFlight:  s.MaxInFlight,
			maxInFlight:  s.MaxInFlight,
			queueTimeout: s.QueueTimeout,
			deadline:     s.Deadline,
		}, true
	}
	return rules{}, false
}

// runner is what a home knows of one backend server.
type runner struct {
	vm      platformapi.VM
	home    *Home
	queue   *admission.Queue
	history *history
	carried carryover

	limit    atomic.Int64 // of the whole fleet's work on the server
	external atomic.Int64 // work on the server that others admitted
	homed    atomic.Bool  // this daemon takes itself for the home
	leaving  atomic.Bool
	reported atomic.Bool // a report, or the lack of any, is known
	misses   atomic.Int64
	instance atomic.Pointer[string]

	stop context.CancelFunc // ends the poll loop while homed
	wake chan struct{}      // a call failed; the poll loop reads a report soon
}

// newRunner returns the runner of a backend server.
func newRunner(h *Home, vm platformapi.VM, r rules) *runner {
	n := &runner{vm: vm, home: h, history: newHistory(h.opts.Now), wake: make(chan struct{}, 1)}
	n.limit.Store(int64(r.minInFlight))
	n.queue = admission.New(admission.Options{
		Limit:        r.maxInFlight,
		ShortReserve: r.shortReserve,
		Admit:        n.allowed,
		Now:          h.opts.Now,
	})
	return n
}

// allowed returns how much of this daemon's work may be in flight now. The
// queue calls it at each admission: a share that ended while the process was
// paused is not used.
func (n *runner) allowed() int {
	if !n.open() {
		return 0
	}
	limit := int(n.limit.Load())
	asOf, carried := n.carried.covered()
	lent := n.held(asOf).Of(limit - carried)
	return min(lent, limit-int(n.external.Load()))
}

// held returns the shares that have been held since a time.
func (n *runner) held(since time.Time) lease.Fraction {
	return n.home.opts.Shares.FractionSince(n.vm.ID, since)
}

// mayRun notes a call that ended without an answer and may still run.
func (n *runner) mayRun() {
	n.carried.fail(n.home.opts.Now())
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// settled reports whether reports cover all shares that are held and all calls
// that failed.
func (n *runner) settled() bool {
	asOf, _ := n.carried.covered()
	return !n.carried.waiting() && n.held(asOf).Lenders == n.home.opts.Shares.Fraction(n.vm.ID).Lenders
}

// open reports whether the backend server may get work at all.
func (n *runner) open() bool {
	return n.homed.Load() && !n.leaving.Load() && n.reported.Load() && n.misses.Load() < maxMisses
}

// closedError tells why the backend server gets no work from this home.
func (n *runner) closedError() *outcome.Error {
	switch {
	case !n.homed.Load():
		return outcome.NewNotRun(outcome.CodeNotHome, "this daemon is not the home").WithReplan()
	case n.leaving.Load():
		return outcome.NewNotRun(outcome.CodeLeaving, "backend server is leaving").WithReplan()
	default:
		return outcome.NewNotRun(outcome.CodeNoBackend, "backend server does not answer").WithReplan()
	}
}

// poll reads load reports until ctx ends.
func (n *runner) poll(ctx context.Context) {
	for ctx.Err() == nil {
		n.readReport(ctx)
		interval := reportInterval
		if !n.settled() {
			interval = unsettledInterval
		}
		select {
		case <-ctx.Done():
		case <-n.wake:
			time.Sleep(unsettledInterval)
		case <-time.After(interval):
		}
	}
}

// readReport reads and applies one report.
func (n *runner) readReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := n.home.opts.Now()
	report, err := n.home.opts.Client.Report(ctx, n.vm.Address)
	switch {
	case err == nil:
		n.apply(report, asked)
	case backend.IsStatus(err): // a plain service without reports
		n.misses.Store(0)
		n.carried.note(asked, 0, n.held)
		n.reported.Store(true)
	case ctx.Err() != nil && n.home.ctx.Err() != nil:
		return
	default:
		n.miss()
	}
	n.queue.Kick()
}

// miss counts a failed report. Work that waits is sent elsewhere once the
// server is taken as gone.
func (n *runner) miss() {
	if n.misses.Add(1) >= maxMisses {
		n.queue.Flush(n.closedError())
	}
}

// apply takes a report that was asked for at a time.
func (n *runner) apply(report engineapi.LoadReport, asked time.Time) {
	n.misses.Store(0)
	n.instance.Store(&report.Instance)
	n.setLeaving(report.Leaving)
	age := time.Duration(report.AgeMs) * time.Millisecond
	asOf := asked.Add(-age)
	work := report.Running + report.Waiting
	n.carried.note(asOf, max(0, work-n.history.lowAt(asOf)), n.held)
	own := n.history.peakSince(age + reportInterval)
	n.external.Store(int64(max(0, work-own, n.home.othersInFlight(n.vm.ID))))
	n.reported.Store(true)
}

// setLeaving notes whether the server is leaving; a server that said so once
// stays so until its process instance changes.
func (n *runner) setLeaving(leaving bool) {
	if !leaving || n.leaving.Swap(true) {
		return
	}
	n.queue.Flush(n.closedError())
}
