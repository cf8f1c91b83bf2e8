package admission

import (
	"math"
	"time"
)

const (
	// queuesTime is the time constant with which pressure follows the queues of the
	// servers. Counts are up to 1 s old; without it, all daemons would send for as
	// long, and then hold back for as long.
	queuesTime = time.Second
	// maxGap is the longest time between two updates that counts.
	maxGap = 250 * time.Millisecond
	// refusalsTime is the time constant with which refusals by servers are forgotten.
	refusalsTime = 2 * time.Second
	// refusalStep is how far a refusal moves the pressure toward 1.
	refusalStep = 0.2
)

// pressure is how much is held back of the requests that may be: from 0, nothing, to
// 1, everything but what must not starve.
type pressure struct {
	queues     float64 // by the counts
	queuesAt   time.Time
	refusals   float64 // by the refusals of servers
	refusalsAt time.Time
}

// update follows the current length of the queues, from 0 to 1. The first update in a
// while only starts the clock: queues of a moment need no answer.
func (p *pressure) update(queues float64, now time.Time) {
	gap := now.Sub(p.queuesAt)
	if p.queuesAt.IsZero() || gap > alertFor {
		p.queues, gap = 0, 0
	}
	p.queuesAt = now
	queues = min(max(queues, 0), 1)
	p.queues += (queues - p.queues) * (1 - math.Exp(-float64(min(gap, maxGap))/float64(queuesTime)))
}

// recordRefusal counts a refusal by a server.
func (p *pressure) recordRefusal(now time.Time) {
	p.refusals *= kept(p.refusalsAt, now, refusalsTime)
	p.refusals += refusalStep * (1 - p.refusals)
	p.refusalsAt = now
}

// passing returns the part of the requests that are not held back.
func (p *pressure) passing(now time.Time) float64 {
	return (1 - p.queues) * (1 - p.refusals*kept(p.refusalsAt, now, refusalsTime))
}

// kept returns what is left after an exponential decay since the given time.
func kept(since, now time.Time, constant time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(since)) / float64(constant))
}
