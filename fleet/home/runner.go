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

// Parameters for reading load reports of backend servers.
const (
	reportInterval   = 500 * time.Millisecond
	handoverInterval = 100 * time.Millisecond // during a handover; see reportDelay
	reportTimeout    = time.Second
	maxFailedReports = 2 // consecutive failures after which no requests are admitted
)

// rules are the configuration settings for the backend servers of one service.
type rules struct {
	model        bool
	loadFactor   float64
	minInFlight  int
	maxInFlight  int
	shortReserve int
	queueTimeout time.Duration
	deadline     time.Duration
}

// rulesOf returns the rules of a model or plain service, and whether it is configured.
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

// runner is the state of a home for one backend server.
type runner struct {
	vm    platformapi.VM
	home  *Home
	queue *admission.Queue
	spans spanLog

	fleetLimit      atomic.Int64           // load limit for the requests of all daemons
	isHome          atomic.Bool            // this daemon considers itself the home
	leavingListed   atomic.Bool            // the VM list marks the server as leaving
	leavingInstance atomic.Pointer[string] // process instance that reported that it is leaving; nil for none
	failedReports   atomic.Int64           // consecutive failures to read a load report
	instance        atomic.Pointer[string] // process instance in the latest load report
	external        externalRequests

	stop context.CancelFunc // ends the poll loop; valid while isHome
}

// newRunner returns the runner of a backend server. This daemon is not its home yet.
func newRunner(h *Home, vm platformapi.VM, r rules) *runner {
	n := &runner{vm: vm, home: h, spans: spanLog{now: h.opts.Now}}
	n.fleetLimit.Store(int64(r.minInFlight))
	n.queue = admission.New(admission.Options{
		Limit:        r.maxInFlight,
		ShortReserve: r.shortReserve,
		CurrentLimit: n.localLimit,
		Now:          h.opts.Now,
	})
	return n
}

// localLimit returns how many requests of this daemon may be in flight now; zero and below
// mean none. The queue calls it at each admission, so a share whose lease expired while
// the process was paused is not used. A share granted after the latest load report is not
// used yet. Requests that other daemons admitted under the shares held now are subtracted.
func (n *runner) localLimit() int {
	if !n.available() {
		return 0
	}
	observed := n.external.latest()
	held := n.home.opts.Shares.FractionSince(n.vm.ID, observed.at)
	return held.AllowedOf(int(n.fleetLimit.Load())) - observed.requests
}

// detector returns the straggler detector of the server's service.
func (n *runner) detector() *straggler.Detector {
	return n.home.opts.Stragglers.Detector(n.vm.Service)
}

// available reports whether this daemon may admit requests to the backend server, if the
// limit permits.
func (n *runner) available() bool {
	return n.isHome.Load() && !n.leaving() && n.external.known() && n.failedReports.Load() < maxFailedReports
}

// unavailableError returns the error for requests while the backend server is not
// available.
func (n *runner) unavailableError() *outcome.Error {
	switch {
	case !n.isHome.Load():
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
		pause.For(ctx, n.reportDelay())
	}
}

// reportDelay returns the time until the next report is read. It is short during a
// handover: while this daemon holds shares that no report covers, or other daemons have
// requests in flight.
func (n *runner) reportDelay() time.Duration {
	observed := n.external.latest()
	held := n.home.opts.Shares.Fraction(n.vm.ID)
	used := n.home.opts.Shares.FractionSince(n.vm.ID, observed.at)
	if observed.requests > 0 || used.Lenders < held.Lenders {
		return handoverInterval
	}
	return reportInterval
}

// readReport reads and applies one load report.
func (n *runner) readReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := n.home.opts.Now()
	report, err := n.home.opts.Client.Report(ctx, n.vm.Address)
	switch {
	case err == nil:
		n.applyReport(report, requestedAt)
	case backend.IsNotFound(err): // a plain service without load reports
		n.failedReports.Store(0)
		n.recordExternal(requestedAt, 0)
	case ctx.Err() != nil && n.home.ctx.Err() != nil:
		return
	default:
		n.recordFailedReport()
	}
	n.queue.Dispatch()
}

// recordFailedReport counts a failed report. At maxFailedReports it refuses the queued
// requests, so that they are sent to other backend servers.
func (n *runner) recordFailedReport() {
	if n.failedReports.Add(1) >= maxFailedReports {
		n.queue.Flush(n.unavailableError())
	}
}

// applyReport applies a report that was requested at the given time. The time of the
// measurement is taken as the request time less the age of the report, which is not later
// than the actual one.
func (n *runner) applyReport(report engineapi.LoadReport, requestedAt time.Time) {
	n.failedReports.Store(0)
	n.instance.Store(&report.Instance)
	n.recordLeaving(report)
	measured := requestedAt.Add(-time.Duration(report.AgeMs) * time.Millisecond)
	n.recordExternal(measured, report.Running+report.Waiting-n.spans.countAt(measured))
}

// recordExternal records the number of requests that other daemons had in flight on the
// server at the time measured.
func (n *runner) recordExternal(measured time.Time, requests int) {
	newest := n.home.opts.Shares.FractionSince(n.vm.ID, measured).NewestSince
	n.external.record(measured, newest, max(0, requests))
}

// leaving reports whether the server is leaving according to the VM list or its own load
// reports.
func (n *runner) leaving() bool { return n.leavingListed.Load() || n.leavingInstance.Load() != nil }

// recordLeaving applies the leaving flag of a load report. Once set, the flag remains until
// a report of another process instance at the same address does not set it.
func (n *runner) recordLeaving(report engineapi.LoadReport) {
	leavingInstance := n.leavingInstance.Load()
	switch {
	case report.Leaving && leavingInstance == nil:
		n.leavingInstance.Store(&report.Instance)
		n.queue.Flush(n.unavailableError())
	case !report.Leaving && leavingInstance != nil && *leavingInstance != report.Instance:
		n.leavingInstance.Store(nil)
	}
}

// setLeavingListed records whether the VM list marks the server as leaving. If it does so
// for the first time, the queued requests are refused.
func (n *runner) setLeavingListed(leaving bool) {
	if leaving && !n.leavingListed.Swap(leaving) {
		n.queue.Flush(n.unavailableError())
	}
	n.leavingListed.Store(leaving)
}
