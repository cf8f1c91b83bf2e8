package ingress

import (
	"context"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/upstream"
)

// soundAfter is how long after the first event of a stream a request is known not to
// crash its server: those that do crash it when it begins to write the response.
const soundAfter = 500 * time.Millisecond

// recordBroken records that the server's side ended the connection while it ran the
// request.
func (q *request) recordBroken(ctx context.Context, s *catalog.Server, a *Attempt) {
	q.rec.CrashParts = nil
	for _, p := range q.call.SharedParts() {
		q.rec.CrashParts = append(q.rec.CrashParts, cacheindex.KeyOf(p))
	}
	q.rec.Fingerprint = q.subject.Fingerprint
	q.suspect(s)
	a.Listening = upstream.ListeningUnknown
	if !q.h.Catalog.View().Evacuated[s.Zone] { // servers there must not be asked for anything
		a.Listening = q.h.Pool.Probe(ctx, s, q.maxConns())
	}
	if a.Listening == upstream.ListeningNo {
		q.recordRefused(s)
	}
	q.h.Quarantine.RecordCrash(&quarantine.Run{
		Subject:    q.subject,
		Server:     s.Tag(),
		SentAt:     a.start,
		AtStart:    q.brokeAtStart(a),
		ServerDown: a.Listening == upstream.ListeningNo,
	})
	q.h.TriggerExchange()
}

// brokeAtStart reports whether the connection broke before, or soon after, the server
// began to write the response to a request with a prompt.
func (q *request) brokeAtStart(a *Attempt) bool {
	return !a.sound && !a.answering() && len(q.subject.Parts) > 0
}

// answering reports whether the server has been writing the response for soundAfter.
func (a *Attempt) answering() bool {
	return !a.firstEvent.IsZero() && time.Since(a.firstEvent) >= soundAfter
}

// recordEvents records that complete events of a stream have arrived.
func (q *request) recordEvents(a *Attempt) {
	if a.firstEvent.IsZero() {
		a.firstEvent = time.Now()
	}
	if a.answering() {
		q.recordSound(a)
	}
}

// recordSound records, once for each attempt, that the run does no harm.
func (q *request) recordSound(a *Attempt) {
	if a.sound {
		return
	}
	a.sound = true
	q.h.Quarantine.RecordSound(&q.subject)
}
