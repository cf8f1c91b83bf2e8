package ingress

import (
	"errors"
	"net/http"
	"syscall"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/serverstate"
	"cassialatch.dev/gateway/upstream"
)

// maxRefusedConnections is the maximum number of connections that servers may refuse for
// one request. They do not count towards maxSends, since nothing was sent.
const maxRefusedConnections = 12

// mayTryServer reports whether the request may be sent to another server, as far as that
// depends on the number of those that were tried.
func (q *request) mayTryServer() bool {
	refused := q.refusedConnections()
	return len(q.rec.Attempts)-refused < maxSends && refused < maxRefusedConnections
}

// refusedConnections returns how many connections servers have refused for the request; 0
// if the state of servers is not used.
func (q *request) refusedConnections() int {
	n := 0
	for i := range q.rec.Attempts {
		if q.rec.Attempts[i].connRefused {
			n++
		}
	}
	return n
}

// recordUnreachable records that no connection to a server could be opened.
func (q *request) recordUnreachable(s *catalog.Server, a *Attempt, err error) {
	q.suspect(s)
	if q.h.ServerState == nil || !errors.Is(err, syscall.ECONNREFUSED) {
		q.h.Health.RecordUnreachable(s.ID)
		return
	}
	a.connRefused = true
	q.recordRefused(s)
}

// recordRefused records that a server has refused a connection. That does not count as a
// failure in Health, which no other daemon's response would end.
func (q *request) recordRefused(s *catalog.Server) {
	if q.h.ServerState == nil {
		q.h.Health.RecordUnreachable(s.ID)
		return
	}
	q.h.ServerState.RecordRefused(s.Tag())
}

// recordResponse records what a response says about the state of the server. With status
// 421 another incarnation has responded.
func (q *request) recordResponse(s *catalog.Server, a *Attempt, resp *upstream.Response) {
	if q.h.ServerState == nil || resp.Status == http.StatusMisdirectedRequest {
		return
	}
	q.h.ServerState.RecordResponse(s.Tag(), a.start)
	if resp.Load.PacePercent > 0 {
		q.h.ServerState.RecordPace(s.Tag(), resp.Load.PacePercent)
	}
}

// sharedStates returns what all daemons have observed about the servers with the tags; nil
// if it is not used.
func (q *request) sharedStates(tags []uint32) []serverstate.State {
	if q.h.ServerState == nil {
		return nil
	}
	states := make([]serverstate.State, len(tags))
	q.h.ServerState.Lookup(tags, states)
	return states
}
