package ingress

import (
	"time"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/warmup"
)

// takeSendSlot returns false if the server, which place has returned, is cold and may not be
// sent the request now: only now is it known that it may have restarted, or another
// request was faster.
func (q *request) takeSendSlot(s *catalog.Server, chosen *choice) bool {
	limit := warmup.LimitOf(q.service)
	if !limit.Applies() {
		return true
	}
	if q.h.Pool.CheckIdle(s.Incarnation()) {
		q.h.Warmup.Suspect(s.Incarnation(), limit)
	}
	ok, cold := q.h.Warmup.Take(s.Incarnation())
	chosen.cold = cold
	return ok
}

// suspect records that the server of an attempt may have restarted.
func (q *request) suspect(s *catalog.Server) {
	q.h.Warmup.Suspect(s.Incarnation(), warmup.LimitOf(q.service))
}

// recordMisdirected records that another incarnation has responded at the address of the
// server of an attempt.
func (q *request) recordMisdirected(s *catalog.Server) {
	q.h.Health.RecordUnreachable(s.ID)
	q.suspect(s)
}

// minColdRetryAfter is the shortest Retry-After for a request that only cold servers are
// left for. The header has milliseconds.
const minColdRetryAfter = time.Millisecond

// untilSendSlot returns the time until a server that is cold now may be sent a request, rounded
// up to milliseconds. It returns 0 if the server is not cold.
func (q *request) untilSendSlot(s *catalog.Server) time.Duration {
	if !warmup.LimitOf(q.service).Applies() {
		return 0
	}
	wait, cold := q.h.Warmup.RetryAfter(s.Incarnation())
	if !cold {
		return 0
	}
	return wait.Truncate(time.Millisecond) + minColdRetryAfter
}
