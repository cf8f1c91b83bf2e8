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

// giveUpWithoutServer ends a request for which no server is left. If some have asked
// for a pause, the caller is told when the first of these ends.
func (q *request) giveUpWithoutServer(w http.ResponseWriter) {
	reason, retryAfter := ReasonNoServer, noServerRetryAfter
	var first time.Duration
	for _, s := range q.h.Catalog.View().ByService[q.service.Name] {
		if q.h.Avoid.Leaving(s.Incarnation()) {
			continue
		}
		if p := q.h.Avoid.Pause(s.Incarnation()); p > 0 && (first == 0 || p < first) {
			first = p
		}
	}
	if first > 0 {
		reason, retryAfter = ReasonServersPaused, max(first, noServerRetryAfter)
	}
	q.giveUp(w, reason, retryAfter)
}
