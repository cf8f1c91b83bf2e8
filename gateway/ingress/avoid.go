package ingress

import (
	"net/http"
	"time"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/upstream"
)

// recordAvoid records what a response says about further requests to the server.
func (q *request) recordAvoid(s *catalog.Server, a *Attempt, resp *upstream.Response) {
	if resp.Leaving {
		a.Leaving = true
		q.h.Avoid.RecordLeaving(s.Incarnation())
	}
	if resp.Pause > 0 {
		a.Pause = resp.Pause
		q.h.Avoid.RecordPause(s.Incarnation(), resp.Pause)
	}
}

// avoided reports whether a server has asked for no more requests.
func (q *request) avoided(s *catalog.Server) bool {
	return q.h.Avoid.Leaving(s.Incarnation()) || q.h.Avoid.Pause(s.Incarnation()) > 0
}

// giveUpWithoutServer ends a request for which no server is left.
func (q *request) giveUpWithoutServer(w http.ResponseWriter) {
	reason, retryAfter := q.whyNoServer()
	q.giveUp(w, reason, retryAfter)
}

// whyNoServer returns why no server is left, and when the caller should come back. If some
// servers have asked for a pause or are cold, that is when the first of them may be sent a
// request.
func (q *request) whyNoServer() (Reason, time.Duration) {
	var pause, cold time.Duration // the shortest; 0: none
	view := q.h.Catalog.View()
	for _, s := range view.ByService[q.service.Name] {
		if q.h.Avoid.Leaving(s.Incarnation()) {
			continue
		}
		if p := q.h.Avoid.Pause(s.Incarnation()); p > 0 {
			pause = shorter(pause, p)
		} else if !q.tried[s.ID] {
			cold = shorter(cold, q.untilSendSlot(s))
		}
	}
	switch {
	case cold > 0 && (pause == 0 || cold <= pause):
		return ReasonServersCold, cold
	case pause > 0:
		return ReasonServersPaused, max(pause, noServerRetryAfter)
	case len(view.EvacuatedByService[q.service.Name]) > 0:
		return ReasonZoneEvacuated, noServerRetryAfter
	}
	return ReasonNoServer, noServerRetryAfter
}

// shorter returns the shorter of two durations, of which 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
