package home

import (
	"context"
	"sync/atomic"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/admission"
	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/pause"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/platformapi"
)

// Times of load reports.
const (
	reportInterval    = 500 * time.Millisecond
	unsettledInterval = 100 * time.Millisecond // while a hand-over is not done
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
	vm    platformapi.VM
	home  *Home
	queue *admission.Queue
	spans spans

	limit    atomic.Int64           // of the whole fleet's work on the server
	homed    atomic.Bool            // this daemon takes itself for the home
	listed   atomic.Bool            // the VM list says that it is leaving
	left     atomic.Pointer[string] // process instance that reported that it is leaving
	misses   atomic.Int64
	instance atomic.Pointer[string]
	external external

	stop context.CancelFunc // ends the poll loop while homed
}

// newRunner returns the runner of a backend server.
func newRunner(h *Home, vm platformapi.VM, r rules) *runner {
	n := &runner{vm: vm, home: h, spans: spans{now: h.opts.Now}}
	n.limit.Store(int64(r.minInFlight))
	n.queue = admission.New(admission.Options{
		Limit:        r.maxInFlight,
		ShortReserve: r.shortReserve,
		CurrentLimit: n.allowed,
		Now:          h.opts.Now,
	})
	return n
}

// allowed returns how much of this daemon's work may be in flight now. The
// queue calls it at each admission: a share that ended while the process was
// paused is not used. A share that came since the last report is not used yet,
// and work that others admitted under the shares held now still counts.
func (n *runner) allowed() int {
	if !n.open() {
		return 0
	}
	seen := n.external.seen()
	lent := n.home.opts.Shares.FractionSince(n.vm.ID, seen.at)
	return lent.AllowedOf(int(n.limit.Load())) - seen.work
}

// detector returns the detector of the server's service.
func (n *runner) detector() *straggler.Detector {
	return n.home.opts.Stragglers.Detector(n.vm.Service)
}

// open reports whether the backend server may get work at all.
func (n *runner) open() bool {
	return n.homed.Load() && !n.leaving() && n.external.known() && n.misses.Load() < maxMisses
}

// closedError tells why the backend server gets no work from this home.
func (n *runner) closedError() *outcome.Error {
	switch {
	case !n.homed.Load():
		return outcome.NewNotRun(outcome.CodeNotHome, "this daemon is not the home").WithReplan()
	case n.leaving():
		return outcome.NewNotRun(outcome.CodeBackendLeaving, "backend server is leaving").WithReplan()
	default:
		return outcome.NewNotRun(outcome.CodeNoBackend, "backend server does not answer").WithReplan()
	}
}

// poll reads load reports until ctx ends.
func (n *runner) poll(ctx context.Context) {
	for ctx.Err() == nil {
		n.readReport(ctx)
		pause.For(ctx, n.reportPause())
	}
}

// reportPause returns the time until the next report: a short one while shares
// that this daemon holds wait for a report, or work of others is known.
func (n *runner) reportPause() time.Duration {
	seen := n.external.seen()
	held := n.home.opts.Shares.Fraction(n.vm.ID)
	used := n.home.opts.Shares.FractionSince(n.vm.ID, seen.at)
	if seen.work > 0 || used.Lenders < held.Lenders {
		return unsettledInterval
	}
	return reportInterval
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
	case backend.IsNotFound(err): // a plain service without reports
		n.misses.Store(0)
		n.noteExternal(asked, 0)
	case ctx.Err() != nil && n.home.ctx.Err() != nil:
		return
	default:
		n.miss()
	}
	n.queue.Dispatch()
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
	n.noteLeaving(report)
	measured := asked.Add(-time.Duration(report.AgeMs) * time.Millisecond)
	n.noteExternal(measured, report.Running+report.Waiting-n.spans.covering(measured))
}

// noteExternal takes what others had in flight on the server at a time.
func (n *runner) noteExternal(measured time.Time, work int) {
	newest := n.home.opts.Shares.FractionSince(n.vm.ID, measured).NewestSince
	n.external.note(measured, newest, max(0, work))
}

// leaving reports whether the server is leaving, by the VM list or by its own
// load report.
func (n *runner) leaving() bool { return n.listed.Load() || n.left.Load() != nil }

// noteLeaving takes the leaving flag of a load report. It holds for the rest of
// the process that set it; another process at the address starts without it.
func (n *runner) noteLeaving(report engineapi.LoadReport) {
	left := n.left.Load()
	switch {
	case report.Leaving && left == nil:
		n.left.Store(&report.Instance)
		n.queue.Flush(n.closedError())
	case !report.Leaving && left != nil && *left != report.Instance:
		n.left.Store(nil)
	}
}

// setListed notes whether the VM list says that the server is leaving.
func (n *runner) setListed(leaving bool) {
	if leaving && !n.listed.Swap(leaving) {
		n.queue.Flush(n.closedError())
	}
	n.listed.Store(leaving)
}
