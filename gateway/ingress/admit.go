package ingress

import (
	"net/http"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/quarantine"
)

// keyLeaseMargin is subtracted from the key lease. It covers the time from the
// last check of the lease until the request has reached the server.
const keyLeaseMargin = 400 * time.Millisecond

// defaultDeadline applies if neither the caller nor the route sets a timeout.
const defaultDeadline = 60 * time.Second

// admit validates a request before any server is chosen. It returns either the
// request's state or a rejection.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, rec *Record) (*request, *rejection) {
	age, confirmed := h.Catalog.Age() // before the view, which may be newer but not older
	view := h.Catalog.View()
	rec.StoreRevision, rec.ConfirmedAge = view.Revision, age
	if view.Table == nil || !confirmed {
		return nil, notRun(ReasonNoConfig, noConfigRetryAfter)
	}
	rec.ConfigVersion = view.Table.Version()
	parsed, err := h.Dialect.ParseRequest(r.Header)
	rec.ID = parsed.ID
	if err != nil {
		return nil, refuse(http.StatusBadRequest, ReasonBadHeader)
	}
	rt := view.Table.Match(r.Host, r.URL.Path)
	if rt == nil {
		return nil, h.refuseByConfig(age, http.StatusNotFound, ReasonNoRoute)
	}
	rec.Route = rt.Name
	q := &request{
		h: h, rec: rec, call: parsed, route: rt,
		method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header,
		tried: make(map[string]bool),
	}
	if view.Table.NeedsKeys() && !rt.Public {
		if !h.keyLeaseValid() {
			return nil, notRun(ReasonKeyLeaseExpired, leaseRetryAfter)
		}
		q.ws = view.Table.Workspace(parsed.Key)
		if q.ws == nil {
			return nil, h.refuseByConfig(age, http.StatusUnauthorized, ReasonUnknownKey)
		}
		rec.Workspace = q.ws.Name
	}
	q.service = view.Table.Service(rt.Service(parsed.ID))
	if q.service == nil {
		return nil, notRun(ReasonNoServer, noServerRetryAfter)
	}
	rec.Service = q.service.Name
	rec.response = h.Responses.Open(q.service.Name, uncountedResponseBytes)
	if shared := q.call.SharedParts(); len(shared) > 0 {
		rec.PromptKey = cacheindex.KeyOf(shared[len(shared)-1])
	}
	q.deadline = effectiveDeadline(parsed.Deadline, rt.Timeout)
	if reject := q.readBody(w, r, view.Table.Limits().BodyBytes); reject != nil {
		return nil, reject
	}
	q.subject.Fingerprint = quarantine.Fingerprint(r.Method, r.Host, r.RequestURI, parsed.Key, q.body)
	for _, p := range q.call.SharedParts() {
		q.subject.Parts = append(q.subject.Parts, p.ID)
	}
	// Only the deadline bounds how long a request takes: a server may compute a
	// stream slowly, or queue or preempt it.
	if left, draining := h.Draining(); draining && q.remaining() > left {
		return nil, notRun(ReasonDraining, drainRetryAfter)
	}
	h.Budget.RecordRequest(q.service.Name)
	return q, nil
}

// effectiveDeadline returns the shorter of the caller's deadline and the route's
// timeout, of those that are set.
func effectiveDeadline(caller, timeout time.Duration) time.Duration {
	d := caller
	if d <= 0 || timeout > 0 && timeout < d {
		d = timeout
	}
	if d <= 0 {
		d = defaultDeadline
	}
	return d
}

// keyLeaseValid reports whether the configuration was confirmed recently enough
// for its API keys to be accepted.
func (h *Handler) keyLeaseValid() bool {
	if h.Settings.KeyLease <= 0 {
		return true
	}
	age, ok := h.Catalog.Age()
	return ok && age < h.Settings.KeyLease-keyLeaseMargin
}

// refuseByConfig returns the rejection of a request that the configuration at hand
// does not permit. age is the time since that configuration was confirmed. If a
// newer one may permit the request, the caller is told to come back.
func (h *Handler) refuseByConfig(age time.Duration, status int, reason Reason) *rejection {
	if h.Settings.ConfigLag > 0 && age >= h.Settings.ConfigLag {
		return notRun(ReasonConfigStale, leaseRetryAfter)
	}
	return refuse(status, reason)
}

// reauthorize checks, just before a request is sent, that the key lease is valid
// and that the configuration in force still maps the key to the same workspace.
func (q *request) reauthorize() *rejection {
	if q.ws == nil {
		return nil
	}
	if !q.h.keyLeaseValid() {
		return notRun(ReasonKeyLeaseExpired, leaseRetryAfter)
	}
	age, _ := q.h.Catalog.Age() // before the view, as in admit
	ws := q.h.Catalog.View().Table.Workspace(q.call.Key)
	switch {
	case ws == nil:
		return q.h.refuseByConfig(age, http.StatusUnauthorized, ReasonUnknownKey)
	case ws.Name != q.ws.Name:
		return notRun(ReasonWorkspaceChanged, workspaceRetryAfter)
	}
	return nil
}
