package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"cassialatch.dev/standin/runner"
)

const (
	// drainBound is the time after which a daemon that has passed on a response of a
	// leaving server must not send it requests.
	drainBound = 2 * time.Second
	// pauseSlack is the time after a refusal within which requests to a paused server
	// may still be in transit.
	pauseSlack = 500 * time.Millisecond
	// maxInPause is the number of requests that may reach a server in its pause.
	maxInPause = 2
)

// leavingServers records since when servers have said that they are leaving, by ID.
type leavingServers map[string]time.Time

// changeServerModes lets one server after another leave, or ask for pauses, until the
// context is canceled. It returns the servers that have left.
func (f *fleet) changeServerModes(ctx context.Context, rng *rand.Rand) leavingServers {
	left := make(leavingServers)
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		wait(time.Duration(rng.IntN(1500)) * time.Millisecond)
		s := f.servers[rng.IntN(len(f.servers))]
		r := s.runner()
		if rng.IntN(2) == 0 {
			r.SetMode(runner.Paused)
			wait(time.Duration(300+rng.IntN(700)) * time.Millisecond)
			r.SetMode(runner.Serving)
			continue
		}
		left[r.ID] = time.Now()
		r.SetMode(runner.Leaving)
		wait(drainBound + time.Duration(500+rng.IntN(1000))*time.Millisecond)
		s.replace(r)
	}
	return left
}

// runner returns the current incarnation of the server.
func (s *server) runner() *runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handler
}

// serverByDaemon identifies what one daemon knows about one server.
type serverByDaemon struct{ daemon, server string }

// arrival is a request that has reached a server.
type arrival struct {
	at   time.Time
	sent time.Time // by its caller
}

// checkLeaving checks that a daemon that was told that a server is leaving sends it
// nothing later than drainBound after. A restart or a pause of the daemon excuses it.
func (f *fleet) checkLeaving(results []result, left leavingServers) {
	told := make(map[serverByDaemon]time.Time)
	f.eachRun(results, f.ledger.Runs, func(r *result, run runner.Run) {
		since, leaving := left[run.Runner]
		key := serverByDaemon{r.daemon, run.Runner}
		if at, ok := told[key]; leaving && r.status == 200 && run.Start.After(since) && (!ok || r.ended.Before(at)) {
			told[key] = r.ended
		}
	})
	f.eachRun(results, f.ledger.Runs, func(r *result, run runner.Run) {
		at, ok := told[serverByDaemon{r.daemon, run.Runner}]
		if ok && run.Start.After(at.Add(drainBound)) && !f.disturbances.disturbed(r.daemon, at, run.Start) {
			f.t.Errorf("%s %s ran on server %s, %v after daemon %s was told that it is leaving", r.kind, r.id, run.Runner, run.Start.Sub(at), r.daemon)
		}
	})
}

// checkPauses checks that at most maxInPause requests of a daemon reach a server in the
// pause that it has asked for, later than pauseSlack after the refusal. A stand-in that
// gets too little processor time records arrivals late, so only requests count that their
// callers sent after the refusal.
func (f *fleet) checkPauses(results []result) {
	arrivals := make(map[serverByDaemon][]arrival)
	record := func(r *result, run runner.Run) {
		key := serverByDaemon{r.daemon, run.Runner}
		arrivals[key] = append(arrivals[key], arrival{run.Start, r.sent})
	}
	f.eachRun(results, f.ledger.Runs, record)
	f.eachRun(results, f.ledger.Refusals, record)
	f.eachRun(results, f.ledger.Refusals, func(r *result, refusal runner.Run) {
		end := refusal.Start.Add(runner.PauseTime)
		n := 0
		for _, a := range arrivals[serverByDaemon{r.daemon, refusal.Runner}] {
			if a.sent.After(refusal.Start) && a.at.After(refusal.Start.Add(pauseSlack)) && a.at.Before(end) {
				n++
			}
		}
		if n > maxInPause && !f.disturbances.disturbed(r.daemon, refusal.Start, end) {
			f.t.Errorf("%d requests of daemon %s reached server %s in the pause that it had asked for at %v", n, r.daemon, refusal.Runner, refusal.Start)
		}
	})
}

// eachRun calls do for each run, or refusal, of the requests.
func (f *fleet) eachRun(results []result, of func(id string) []runner.Run, do func(*result, runner.Run)) {
	for i := range results {
		for _, run := range of(results[i].id) {
			do(&results[i], run)
		}
	}
}
