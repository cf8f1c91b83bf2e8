package daemon

import "time"

func (d *Daemon) draining() bool { return d.drainTimes.Load() != nil }

const (
	// lastRequestMargin is the time between the latest possible end of a request
	// that is admitted during the drain and the end of the drain.
	lastRequestMargin = 300 * time.Millisecond
	// closeMargin is the longest time between the end of the drain, when requests
	// in flight are ended, and the SIGKILL from the platform.
	closeMargin = 700 * time.Millisecond
	// closeFraction is the part of a short grace period that is left instead.
	closeFraction = 6
	// minDrain is the shortest drain, unless the grace period is shorter. Callers
	// keep connecting for this long to addresses that they have cached from the
	// directory.
	minDrain          = 7 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// stopTimeout limits how long the daemon waits, after the drain, for responses
	// to the requests that are still in flight.
	stopTimeout = 200 * time.Millisecond
	// logFlushTimeout limits how long the daemon waits for queued log lines.
	logFlushTimeout = 100 * time.Millisecond
)

// drainTimes holds the times that bound a drain.
type drainTimes struct {
	// earliest is when no more requests are admitted. From then on the drain ends
	// as soon as none is in flight.
	earliest time.Time
	latest   time.Time // when requests in flight are ended
}

// drainTimeLeft returns how long a request that is admitted now may run, and
// whether the daemon is draining. Once the drain may end, it is not positive.
func (d *Daemon) drainTimeLeft() (time.Duration, bool) {
	t := d.drainTimes.Load()
	if t == nil {
		return 0, false
	}
	now := time.Now()
	if !now.Before(t.earliest) {
		return 0, true
	}
	return t.latest.Sub(now) - lastRequestMargin, true
}

// longestDrain returns how long requests in flight may take after SIGTERM.
func longestDrain(grace time.Duration) time.Duration {
	return grace - min(closeMargin, grace/closeFraction)
}

// drain keeps serving while callers move to other daemons. It closes the
// frontend once no request is in flight, but not before minDrain. Requests that
// are still in flight after longestDrain are ended.
func (d *Daemon) drain() {
	start := time.Now()
	longest := longestDrain(d.settings.Grace)
	t := &drainTimes{earliest: start.Add(min(minDrain, longest)), latest: start.Add(longest)}
	d.drainTimes.Store(t)
	d.log.Lifecycle("drain_started", "")
	d.exchange.Trigger()
	time.Sleep(time.Until(t.earliest))
	d.awaitIdle(t.latest)
	d.frontend.Stop(stopTimeout)
	for _, s := range d.auxServers {
		s.Close()
	}
	d.log.Lifecycle("stop", "")
	d.writer.Close(logFlushTimeout)
}

// awaitIdle waits until no request is in flight, but not longer than until the
// given time.
func (d *Daemon) awaitIdle(until time.Time) {
	for time.Now().Before(until) && d.frontend.Active() > 0 {
		time.Sleep(drainPollInterval)
	}
}
