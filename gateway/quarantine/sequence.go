package quarantine

import (
	"slices"
	"time"
)

// clockSlack is by how much the times of runs that different daemons have reported
// may deviate from each other.
const clockSlack = 20 * time.Millisecond

// begunAfter reports whether the run began after an earlier crash, so that something
// else has interrupted it. Where the times may deviate, a run that ended together with
// the other one did not.
func (c *crash) begunAfter(earlier *crash) bool {
	if c.local && earlier.local {
		return !c.SentAt.Before(earlier.at)
	}
	return !c.SentAt.Before(earlier.at.Add(-clockSlack)) && !c.at.Before(earlier.at.Add(clockSlack))
}

// sameCrash returns the one of the crashes that also interrupted this run, the nearest in
// time if there are several; nil if there is none.
func (c *crash) sameCrash(crashes []*crash) *crash {
	var nearest *crash
	for _, o := range crashes {
		if c.Server != o.Server || c.begunAfter(o) || o.begunAfter(c) {
			continue
		}
		if nearest == nil || c.at.Sub(o.at).Abs() < c.at.Sub(nearest.at).Abs() {
			nearest = o
		}
	}
	return nearest
}

// sameMoment is the time within which the reports of servers that fail together may
// deviate from each other.
const sameMoment = 250 * time.Millisecond

// serverCrashes returns the runs, which are sorted by time, that a crash of a server has
// interrupted, one for each crash. Several servers that crash at the same moment count
// once, as they fail for another reason, unless the runs were one after the other.
func serverCrashes(runs []*crash) []*crash {
	latest := make(map[uint32]*crash) // by server
	var list []*crash
	for _, c := range runs {
		if earlier := latest[c.Server]; earlier != nil && (!c.begunAfter(earlier) || stillDown(earlier, c)) {
			continue
		}
		latest[c.Server] = c
		if n := len(list); n > 0 && !c.begunAfter(list[n-1]) && c.at.Sub(list[n-1].at) < sameMoment {
			continue
		}
		list = append(list, c)
	}
	return list
}

// sortByTime sorts crashes by their time in place.
func sortByTime(crashes []*crash) {
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// minRestart is the time after a server went down within which it is not back.
const minRestart = time.Second

// stillDown reports whether the later of two runs on the same server was sent while the
// server was down, on a connection that the crash had broken already.
func stillDown(earlier, later *crash) bool {
	return earlier.ServerDown && earlier.Server == later.Server && later.SentAt.Sub(earlier.at) < minRestart
}

// successive returns those of the crashes, which are sorted by time, whose run began
// after the crash before: what fails together counts once. A crash counts only if it
// is distinct from all earlier ones that count.
func successive(crashes []*crash, distinct func(earlier, c *crash) bool) []*crash {
	var list []*crash
	for _, c := range crashes {
		if len(list) > 0 && !c.begunAfter(list[len(list)-1]) {
			continue
		}
		if !slices.ContainsFunc(list, func(earlier *crash) bool { return !distinct(earlier, c) }) {
			list = append(list, c)
		}
	}
	return list
}

// serversDown returns the crashes after which the server accepted no connections.
func serversDown(crashes []*crash) []*crash {
	var list []*crash
	for _, c := range crashes {
		if c.ServerDown {
			list = append(list, c)
		}
	}
	return list
}

// span returns the time from the first to the last of the crashes, which are sorted by time.
func span(crashes []*crash) time.Duration {
	if len(crashes) == 0 {
		return 0
	}
	return crashes[len(crashes)-1].at.Sub(crashes[0].at)
}

// numServers returns the number of servers of the crashes.
func numServers(crashes []*crash) int {
	servers := make(map[uint32]bool)
	for _, c := range crashes {
		servers[c.Server] = true
	}
	return len(servers)
}
