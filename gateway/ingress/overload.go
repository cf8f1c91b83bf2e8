package ingress

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"cassialatch.dev/gateway/admission"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/route"
)

// decideAdmission decides whether the request is sent to the chosen server now, while
// capacity is insufficient. A request that a server may have run is always sent: it can't
// be refused as not run.
func (q *request) decideAdmission(chosen choice) admission.Decision {
	c := q.h.Admission
	if c == nil || q.route.LatencyObjective <= 0 || q.mayHaveRun || q.headerWritten {
		return admission.Decision{Action: admission.Send}
	}
	if c.Calm() && (hasFreeSlot(chosen.Candidate) || slices.ContainsFunc(chosen.among, hasFreeSlot)) {
		return admission.Decision{Action: admission.Send}
	}
	if q.admission == nil {
		q.admission = q.admissionRequest(chosen)
	}
	return c.Decide(q.admission, admissionServers(chosen.among))
}

// hasFreeSlot reports whether a server has a free slot by the counts. One that does not
// state its slots always has.
func hasFreeSlot(c placement.Candidate) bool { return c.Slots <= 0 || c.InFlight < c.Slots }

// admissionRequest returns what decides about the request.
func (q *request) admissionRequest(chosen choice) *admission.Request {
	r := &admission.Request{
		Service:       q.service.Name,
		Priority:      q.priority(),
		PromptTokens:  q.tokensToCompute(chosen.MissingTokens),
		OutputTokens:  q.call.OutputTokens,
		Start:         q.rec.Start,
		Objective:     q.rec.Start.Add(q.route.LatencyObjective),
		Deadline:      q.rec.Start.Add(q.deadline),
		StreamsEvents: q.route.Kind == route.Stream,
	}
	if q.ws != nil {
		r.Workspace = q.ws.Name
	}
	return r
}

// admissionServers returns the candidates as package admission needs them.
func admissionServers(candidates []placement.Candidate) []admission.Server {
	servers := make([]admission.Server, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		servers[i] = admission.Server{ID: c.ID, InFlight: c.InFlight, Slots: c.Slots, Pace: c.Pace}
	}
	return servers
}

// leastLoaded returns the index of the server for a request without a prompt, -1 if there
// is none.
func (q *request) leastLoaded(candidates []placement.Candidate) int {
	if c := q.h.Admission; c != nil && !c.Calm() {
		servers := admissionServers(candidates)
		for i := range servers {
			servers[i].InFlight += int(math.Ceil(candidates[i].Penalty))
		}
		if i := c.Choose(q.service.Name, servers); i >= 0 {
			return i
		}
	}
	return placement.LeastLoaded(candidates, q.h.Settings.Zone, q.h.Jitter())
}

// awaitRoom waits until the request is to be decided about again. It returns a rejection if
// the daemon has begun to drain and the request may not end before the drain does.
func (q *request) awaitRoom(ctx context.Context, limit time.Duration) *rejection {
	start := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.admission.Woken():
	case <-timer.C:
	case <-ctx.Done():
	}
	q.rec.Waited += time.Since(start)
	if ctx.Err() != nil {
		return nil // run ends the request
	}
	if left, draining := q.h.Draining(); draining && q.remaining() > left {
		return notRun(ReasonDraining, drainRetryAfter)
	}
	return nil
}

// leaveQueue ends the wait of a request that has ended.
func (q *request) leaveQueue() {
	if q.admission != nil {
		q.h.Admission.Leave(q.admission)
	}
}

// learnsAdmission reports whether runs of the request are recorded.
func (q *request) learnsAdmission() bool {
	return q.h.Admission != nil && q.route.LatencyObjective > 0
}

// recordRun records how long a server took for a response. Only a success shows it.
func (q *request) recordRun(a *Attempt) {
	if !q.learnsAdmission() || a.Reason != ReasonNone || a.Status < http.StatusOK || a.Status >= http.StatusMultipleChoices || q.rec.Resumptions > 0 {
		return
	}
	run := admission.Run{
		Priority:     q.priority(),
		PromptTokens: q.tokensToCompute(a.MissingTokens),
		OutputTokens: q.call.OutputTokens,
		First:        a.Duration,
		Total:        a.Duration,
	}
	if !a.firstEvent.IsZero() {
		run.First = a.firstEvent.Sub(a.start)
	}
	q.h.Admission.RecordRun(q.service.Name, run)
}

// recordFull records that a server has refused the request because it is full.
func (q *request) recordFull(s *catalog.Server) {
	if q.learnsAdmission() {
		q.h.Admission.RecordRefusal(q.service.Name, s.ID)
	}
}
