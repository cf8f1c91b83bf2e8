package serverstate

import (
	"time"

	"cassialatch.dev/gateway/health"
)

const (
	// minRestart is the time after a refused connection within which a server that had
	// stopped is not back.
	minRestart = time.Second
	// disputeTime is how long a daemon goes by its own observations of a server after a
	// refusal and a response that contradict each other.
	disputeTime = 5 * time.Second
	// maxReported is how long peers' reports keep a server in backoff, and ownTrust how long
	// after a refusal that this daemon has observed they may do so. Then the daemon tries the
	// server itself: otherwise a peer that alone can't reach a server could keep all others
	// from it, each of which sends it a request only once in many seconds.
	maxReported = time.Second
	ownTrust    = 5 * time.Second
	// sequenceTTL is how long after a backoff a further refusal counts as the next one.
	sequenceTTL = 5 * time.Second
)

// refusal is what is known about refused connections of one server.
type refusal struct {
	at       time.Time // when the backoff began; zero: no refusal since the latest response
	until    time.Time // end of the backoff
	failures int       // successive refusals that this daemon knows of
	// sequence is the number of the refusal among successive ones, as counted by the
	// daemon that observed it. Copies of a report have the same number, so that those
	// which arrive late do not extend a backoff.
	sequence int

	reportedUntil time.Time // until when reports of peers may keep the server in backoff
	reportedAt    time.Time // date of the latest report that isNews

	respondedAt   time.Time // when the latest request that has got a response was sent
	recoveredAt   time.Time // respondedAt of a response that ended a refusal; zero: none
	disputedUntil time.Time // until when only this daemon's own observations count
}

// active reports whether the server is in backoff.
func (r *refusal) active(now time.Time) bool { return now.Before(r.until) }

// disputed reports whether only this daemon's own observations count.
func (r *refusal) disputed(now time.Time) bool { return now.Before(r.disputedUntil) }

// refused records a refused connection of this daemon. It reports whether peers should
// receive that at once. One within a backoff changes nothing: the connection was opened
// before the daemon learnt of the backoff, or because there was no other server.
func (r *refusal) refused(now time.Time) bool {
	if r.active(now) {
		return false
	}
	r.forgetOld(now)
	r.begin(now, r.sequence+1)
	r.reportedUntil = now.Add(ownTrust)
	return !r.disputed(now)
}

// isNews reports whether a peer's report of the given date, on a refusal or on the end of
// one, says that the server may have restarted since the reports before. Copies say no more.
func (r *refusal) isNews(at, now time.Time) bool {
	if r.disputed(now) || at.Sub(r.reportedAt) <= copyTolerance {
		return false
	}
	r.reportedAt = at
	return true
}

// merge records a refusal that a peer has reported.
func (r *refusal) merge(at time.Time, sequence int, now time.Time) {
	r.forgetOld(now)
	if r.disputed(now) || !at.After(r.respondedAt) || sequence <= r.sequence {
		return
	}
	if r.at.IsZero() {
		r.reportedUntil = at.Add(maxReported)
	}
	if !at.Before(r.reportedUntil) {
		return
	}
	r.begin(at, sequence)
	if r.until.After(r.reportedUntil) {
		r.until = r.reportedUntil
	}
}

// begin begins a backoff at the given time.
func (r *refusal) begin(at time.Time, sequence int) {
	r.at, r.until, r.sequence = at, at.Add(health.Backoff(r.failures)), sequence
	r.failures++
}

// forgetOld forgets refusals whose backoff ended sequenceTTL ago.
func (r *refusal) forgetOld(now time.Time) {
	if now.Sub(r.until) >= sequenceTTL {
		r.clear()
	}
}

// clear ends a backoff and forgets the successive refusals.
func (r *refusal) clear() {
	r.at, r.until, r.failures, r.sequence = time.Time{}, time.Time{}, 0, 0
}

// responded records that a request sent at the given time has got a response. It reports
// whether that ended a refusal.
func (r *refusal) responded(sentAt, now time.Time) bool {
	if !sentAt.After(r.respondedAt) {
		return false
	}
	r.respondedAt = sentAt
	if r.at.IsZero() || !sentAt.After(r.at) {
		return false
	}
	disputed := r.disputed(now)
	if sentAt.Sub(r.at) < minRestart {
		r.disputedUntil = now.Add(disputeTime)
	}
	r.clear()
	r.recoveredAt = sentAt
	return !disputed
}
