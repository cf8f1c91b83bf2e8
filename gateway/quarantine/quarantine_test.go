package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet is a number of daemons that share a clock.
type fleet struct {
	now     time.Time
	daemons []*Table
	servers uint32 // servers that have crashed so far
}

func newFleet(daemons int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0)}
	for range daemons {
		f.daemons = append(f.daemons, New(func() time.Time { return f.now }))
	}
	return f
}

// gossip sends the news of each daemon to all others.
func (f *fleet) gossip() {
	for _, from := range f.daemons {
		news := from.News()
		for _, to := range f.daemons {
			to.Merge(&news)
		}
	}
}

// crash lets another server crash after each of the runs has been on it for a while.
// The runs are of different daemons.
func (f *fleet) crash(runs ...Run) {
	f.servers++
	sent := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	for i, r := range runs {
		r.Server, r.SentAt = f.servers, sent
		f.daemons[(int(f.servers)+i)%len(f.daemons)].RecordCrash(&r)
	}
	f.now = f.now.Add(time.Second)
	f.gossip()
}

// starting returns a run that has just begun, of a request with the parts.
func starting(fingerprint uint64, parts ...uint64) Run {
	return Run{Subject: Subject{Fingerprint: fingerprint, Parts: parts}, AtStart: true, ServerDown: true}
}

// refusing returns how many daemons refuse a new request with the parts.
func (f *fleet) refusing(parts ...uint64) int {
	n := 0
	for _, d := range f.daemons {
		if d.ShouldRefuse(&Subject{Fingerprint: 1 << 40, Parts: parts}) {
			n++
		}
	}
	return n
}

// Parts of the prompts in these tests. All requests share the first.
const (
	first = iota + 1
	bad
	sound
	other
)

func TestShouldRefuse_SumsCrashesOfAllDaemons(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	a, b := New(clock), New(clock)
	request := Subject{Fingerprint: Fingerprint("POST", "h", "/p", "key", []byte("body"))}
	crash := func(x *Table, server uint32) {
		sent := now
		now = now.Add(100 * time.Millisecond)
		x.RecordCrash(&Run{Subject: request, Server: server, SentAt: sent, ServerDown: true})
	}
	crash(a, 1)
	crash(a, 2)
	is.True(!a.ShouldRefuse(&request))
	for range 2 { // a repeated message counts once
		news := a.News()
		b.Merge(&news)
	}
	is.True(!b.ShouldRefuse(&request))
	crash(b, 3)
	is.True(b.ShouldRefuse(&request))
	now = now.Add(requestTTL - time.Millisecond)
	is.True(b.ShouldRefuse(&request))
	now = now.Add(time.Millisecond)
	is.True(!b.ShouldRefuse(&request))
}

func TestRecordCompleted_ClearsCounts(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	r := Run{Subject: Subject{Fingerprint: 1}, ServerDown: true}
	crash := func(server uint32) {
		r.Server, r.SentAt = server, time.Now()
		x.RecordCrash(&r)
	}
	crash(1)
	x.RecordCompleted(&r.Subject)
	crash(2)
	crash(3)
	is.True(!x.ShouldRefuse(&r.Subject))
	crash(4)
	is.True(x.ShouldRefuse(&r.Subject))
}

// Guards against refusing a request that servers answer all the while, because its few
// crashes and its successes are seen by different daemons.
func TestRecordCompleted_ClearsCountsOfAllDaemons(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range 3 * requestThreshold {
		f.crash(starting(7))
		for _, d := range f.daemons {
			is.True(!d.ShouldRefuse(&Subject{Fingerprint: 7}))
		}
		f.daemons[n%3].RecordCompleted(&Subject{Fingerprint: 7})
		f.now = f.now.Add(time.Minute)
		f.gossip()
	}
}

// Load pattern: many different requests are interrupted by a mass crash of
// servers. The table and the message to peers keep their maximum size.
func TestRecordCrash_LimitsTableSize(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	for i := range uint64(3 * maxCrashes) {
		r := starting(i, i)
		x.RecordCrash(&r)
		x.RecordSound(&r.Subject)
		x.RecordCompleted(&r.Subject)
	}
	is.True(len(x.crashes) <= maxCrashes)
	is.True(len(x.sound) <= maxSound)
	is.True(len(x.completed) <= maxCompleted)
	news := x.News()
	is.True(len(news.Crashes) <= maxSentCrashes)
	is.True(len(news.Sound) <= maxSentSound)
	is.True(len(news.Completed) <= maxSentCompleted)
}

// Guards against requests with different content that share a part which crashes each
// server, and arrive at different daemons: each of them used to count as one crash.
// Sound requests with the other parts are served.
func TestShouldRefuse_PartThatCrashesServers(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	for n := range uint64(partThreshold) {
		is.Equal(f.refusing(first, bad), 0)
		f.crash(starting(n, first, bad))
		for _, d := range f.daemons {
			d.RecordSound(&Subject{Parts: []uint64{first, sound}})
		}
	}
	is.Equal(f.refusing(first, bad), 9)
	is.Equal(f.refusing(first, bad, other), 9)
	is.Equal(f.refusing(first, sound), 0)
	is.Equal(f.refusing(first), 0)
	f.now = f.now.Add(partTTL)
	is.Equal(f.refusing(first, bad), 0)
}

// Guards against forgetting crashes before there are enough, as those of something that
// comes less than once in half a minute: it is refused, and when that ends, the next crash
// is enough.
func TestShouldRefuse_RareCrashes(t *testing.T) {
	const gap = 45 * time.Second
	for name, run := range map[string]func(n uint64) Run{
		"of one request": func(uint64) Run { return starting(7) },
		"of a part":      func(n uint64) Run { return starting(100+n, first, bad) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			next := func(n uint64) bool {
				r := run(n)
				return f.daemons[0].ShouldRefuse(&r.Subject)
			}
			for n := range uint64(3) {
				is.True(!next(n))
				f.now = f.now.Add(gap)
				f.gossip() // removes what has expired
				f.crash(run(n))
			}
			is.True(next(3))
			f.now = f.now.Add(partTTL)
			f.gossip()
			is.True(!next(3))
			f.crash(run(3))
			is.True(next(4))
		})
	}
}

// The first part may be the one that crashes servers; the sound requests share the
// parts behind it. One that is always there is no proof against itself, but later
// crashes without it are.
func TestShouldRefuse_FirstPartThatCrashesServers(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range uint64(partThreshold) {
		is.Equal(f.refusing(bad, 100), 0)
		f.crash(starting(n, bad, 100+n))
	}
	is.Equal(f.refusing(bad, 999), 3)
	is.Equal(f.refusing(first, 100), 0)
}

// Guards against refusing sound requests that were on the crashed servers, too: in
// the middle of their streams, or at the start of their runs.
func TestShouldRefuse_SparesRequestsOnCrashedServers(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	streaming := starting(50, first, sound)
	streaming.AtStart = false
	for n := range uint64(2 * partThreshold) {
		f.crash(streaming, starting(60+n, first, other+n), starting(n, first, bad))
	}
	is.Equal(f.refusing(first, bad), 3)
	is.Equal(f.refusing(first, sound), 0)
	is.Equal(f.refusing(first, other), 0)
}

// Guards against refusing a first part because the sound requests with it are known
// to have been on crashed servers before the one that crashed them is.
func TestShouldRefuse_SparesFirstPartWhateverTheOrderOfReports(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for n := range uint64(partThreshold) {
		f.crash(starting(60+n, first, other+n), starting(n, first, bad))
		is.Equal(f.refusing(first, sound), 0)
	}
	is.Equal(f.refusing(first, bad), 1)
}

// Servers that fail at the same moment for another reason condemn no part, however
// many requests with it were on them.
func TestShouldRefuse_SparesPartsAfterMassCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	sent := f.now
	f.now = f.now.Add(time.Second)
	for n := range uint64(20) {
		r := starting(n, first, sound)
		r.Server, r.SentAt = uint32(n), sent
		f.daemons[n%3].RecordCrash(&r)
	}
	f.gossip()
	is.Equal(f.refusing(first, sound), 0)
}

// A single request that crashes servers is refused by its content, not by the parts
// that it shares with others, also if others were on the same servers.
func TestShouldRefuse_SingleRequestDoesNotCondemnItsParts(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range uint64(requestThreshold) {
		f.crash(starting(60+n, first, sound), starting(7, first, sound))
	}
	is.Equal(f.refusing(first, sound), 0)
	is.True(f.daemons[0].ShouldRefuse(&Subject{Fingerprint: 7, Parts: []uint64{first, sound}}))
}

// Guards against refusing a request because one crash interrupts several copies of it,
// as of a popular one: that is one crash.
func TestShouldRefuse_CopiesOnOneServerCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	popular := Run{Subject: Subject{Fingerprint: 7}, ServerDown: true}
	for n := range requestThreshold {
		t.Logf("%d servers have crashed", n)
		is.True(!f.daemons[0].ShouldRefuse(&popular.Subject))
		f.crash(popular, popular, popular, popular, popular)
	}
	is.True(f.daemons[0].ShouldRefuse(&popular.Subject))
}

// Guards against sparing a part that breaks run after run of two servers which go on
// listening, because a rarer one was on both of them, too, but only at the first.
func TestShouldRefuse_RarerPartAtFirstCrashesOnly(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	lost := func(server uint32, runs ...Run) {
		sent := f.now
		f.now = f.now.Add(50 * time.Millisecond)
		for daemon, r := range runs {
			r.Server, r.SentAt, r.ServerDown = server, sent, false
			f.daemons[daemon].RecordCrash(&r)
		}
		f.now = f.now.Add(300 * time.Millisecond)
		f.gossip()
	}
	lost(1, starting(1, first, bad), starting(100, first, other))
	lost(2, starting(2, first, bad), starting(100, first, other))
	for n := range uint64(2 * lostThreshold) {
		lost(uint32(n%2)+1, starting(10+n, first, bad))
		f.daemons[0].RecordSound(&Subject{Parts: []uint64{first}})
		f.gossip()
	}
	is.Equal(f.refusing(first, bad), 2)
	is.Equal(f.refusing(first, other), 0)
}

// Guards against refusing a part that is only on servers which another one crashes, each
// time, as long as the other one has crashed more of them: reports of its runs arrive last.
func TestShouldRefuse_SparesCompanionOfPart(t *testing.T) {
	for name, down := range map[string]bool{"down": true, "listening": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2)
			crash := func(server uint32, runs ...Run) { // run n is observed by daemon n
				sent := f.now
				f.now = f.now.Add(50 * time.Millisecond)
				for daemon, r := range runs {
					r.Server, r.SentAt, r.ServerDown = server, sent, down
					f.daemons[daemon].RecordCrash(&r)
					is.Equal(f.refusing(first, other), 0)
				}
				f.now = f.now.Add(2 * reportTime)
				f.gossip()
				f.gossip()
			}
			const crashes = 8
			for n := range uint64(crashes) {
				server := uint32(n % 2)
				if down {
					server = uint32(n) // the next incarnation
				}
				runs := []Run{starting(100+n, first, other), starting(n, first, bad)}
				if n == 0 {
					runs[0] = starting(100, first, sound)
				}
				crash(server, runs...)
				is.Equal(f.refusing(first, other), 0)
			}
			is.Equal(f.refusing(first, bad), 2)
		})
	}
}

// Guards against refusing the parts of sound requests because two servers crash one right
// after the other, with many short runs on each: those are two crashes, whether the servers
// go on listening or not.
func TestShouldRefuse_SparesPartsAfterTwoCrashes(t *testing.T) {
	for name, down := range map[string]bool{"down": true, "listening": false} {
		for daemons := range 3 {
			t.Run(fmt.Sprintf("%s, seen by %d daemons", name, daemons+1), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(daemons + 1)
				request := uint64(0)
				crash := func(server uint32, runs int) {
					sent := f.now
					f.now = f.now.Add(15 * time.Millisecond)
					for range runs {
						request++
						r := starting(request, first, sound)
						r.Server, r.SentAt, r.ServerDown = server, sent, down
						f.daemons[request%uint64(len(f.daemons))].RecordCrash(&r)
						f.now = f.now.Add(time.Millisecond)
						f.gossip()
					}
				}
				crash(1, 3)
				crash(2, 10)
				is.Equal(f.refusing(first, sound), 0)
			})
		}
	}
}

// Guards against refusing the parts of sound requests that are sent on kept connections of
// servers which have crashed already: each of them breaks as well.
func TestShouldRefuse_ServerThatIsDownCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range uint64(20) {
		r := starting(n, first, sound)
		r.Server, r.SentAt = uint32(n%2), f.now
		f.now = f.now.Add(50 * time.Millisecond)
		f.daemons[n/2%2].RecordCrash(&r)
		f.gossip()
		is.Equal(f.refusing(first, sound), 0)
	}
}

// Guards against refusing the first part of all requests because the servers of a small
// service all crash, twice, as soon as they are back: a request that crashes one of them is
// retried on the other, and some reports of its runs arrive after those of sound ones.
func TestShouldRefuse_SparesFirstPartIfAllServersCrashTwice(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	crash := func(server uint32, runs ...Run) { // run n is observed by daemon n
		sent := f.now
		f.now = f.now.Add(2 * time.Millisecond)
		for daemon, r := range runs {
			r.Server, r.SentAt = server, sent
			f.daemons[daemon].RecordCrash(&r)
		}
	}
	for n := range uint64(2) {
		bystanders := []Run{starting(10+n, first, sound), starting(20+n, first, sound), starting(30+n, first, other)}
		runs := append(bystanders, starting(n, first, bad))
		crash(uint32(100+2*n), runs...)
		crash(uint32(101+2*n), runs...)
		is.Equal(f.refusing(first, sound), 0) // only daemon 3 has observed the run with the part
		f.gossip()
		is.Equal(f.refusing(first, sound), 0)
		f.now = f.now.Add(1100 * time.Millisecond)
		f.gossip()
	}
	f.crash(starting(9, first, bad))
	f.gossip()
	is.Equal(f.refusing(first, sound), 0)
	is.Equal(f.refusing(first, bad), 4)
}

// Servers that go on listening may only lose responses, so it takes more of them, and
// they must be of several requests on several servers.
func TestShouldRefuse_RunsLostByListeningServers(t *testing.T) {
	lost := func(server uint32, fingerprint uint64) Run {
		r := starting(fingerprint, first, bad)
		r.Server, r.ServerDown = server, false
		return r
	}
	for name, c := range map[string]struct {
		server  func(n uint32) uint32
		request func(n uint64) uint64
		refuse  bool
	}{
		"two servers":  {func(n uint32) uint32 { return n % 2 }, func(n uint64) uint64 { return n }, true},
		"one server":   {func(uint32) uint32 { return 1 }, func(n uint64) uint64 { return n }, false},
		"two requests": {func(n uint32) uint32 { return n }, func(n uint64) uint64 { return n % 2 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			for n := range lostThreshold {
				is.Equal(f.refusing(first, bad), 0)
				r := lost(c.server(uint32(n)), c.request(uint64(n)))
				r.SentAt = f.now
				f.now = f.now.Add(100 * time.Millisecond)
				f.daemons[0].RecordCrash(&r)
			}
			is.Equal(f.refusing(first, bad) == 1, c.refuse)
			f.daemons[0].RecordSound(&Subject{Parts: []uint64{first}})
			is.Equal(f.refusing(first, sound), 0)
		})
	}
}

// A ban that was wrong ends as soon as a run that was in progress shows it, on all
// daemons, and does not come back from one that has not heard of it yet.
func TestRecordSound_LiftsBan(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range uint64(partThreshold) {
		f.crash(starting(n, first, bad))
	}
	is.Equal(f.refusing(first, bad), 3)
	outdated := f.daemons[2].News()
	f.now = f.now.Add(time.Second)
	f.daemons[0].RecordSound(&Subject{Parts: []uint64{first}})
	f.gossip()
	is.Equal(f.refusing(first, bad), 3) // the other part remains
	is.Equal(f.refusing(bad), 3)
	f.daemons[1].RecordSound(&Subject{Parts: []uint64{bad}})
	f.gossip()
	is.Equal(f.refusing(first, bad), 0)
	f.daemons[1].Merge(&outdated)
	is.Equal(f.refusing(first, bad), 0)
}

// Guards against refusing sound requests in quick succession: a run that did well soon
// after another one did not count.
func TestRecordSound_CountsSoonAfterAnother(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	d := f.daemons[0]
	pass := func() { f.now = f.now.Add(10 * time.Millisecond) }
	for n := range uint64(3 * partThreshold) {
		r := starting(n, first, sound)
		r.Server, r.SentAt = uint32(n), f.now
		pass()
		d.RecordCrash(&r)
		pass()
		d.RecordSound(&r.Subject)
		is.Equal(f.refusing(first, sound), 0)
	}
}

// Guards against counts that end with the process that made them: after the restart of
// each daemon, one after the other, the fleet still refuses what crashes servers.
func TestMerge_KnowledgeOutlivesRestarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for n := range uint64(partThreshold) {
		f.crash(starting(n, first, bad))
	}
	f.crash(starting(7))
	f.crash(starting(7))
	for i := range f.daemons {
		f.daemons[i] = New(func() time.Time { return f.now })
		f.now = f.now.Add(time.Second)
		f.gossip()
	}
	is.Equal(f.refusing(first, bad), 4)
	f.crash(starting(7))
	is.True(f.daemons[0].ShouldRefuse(&Subject{Fingerprint: 7}))
}

// Guards against daemons of a large fleet that learn what another one has counted
// only if they receive a datagram of it: what is relayed is enough.
func TestMerge_RelaysThroughOtherDaemons(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	for n := range uint64(partThreshold) {
		r := starting(n, first, bad)
		r.Server, r.SentAt = uint32(n), f.now
		f.now = f.now.Add(200 * time.Millisecond)
		f.daemons[0].RecordCrash(&r)
	}
	for i := range len(f.daemons) - 1 { // each daemon hears one other daemon only
		f.now = f.now.Add(10 * time.Millisecond)
		news := f.daemons[i].News()
		f.daemons[i+1].Merge(&news)
	}
	is.Equal(f.refusing(first, bad), 12)
}
