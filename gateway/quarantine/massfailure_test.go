package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// massFailure plays sound requests on servers of which many fail at about the same time,
// in steps of massStep. Requests that are interrupted are sent again at once, and
// by their callers if that does not help.
type massFailure struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*massDaemon
	servers []*massServer
	next    uint64 // fingerprint of the next request
	sent    int    // requests and resends, from the failure on
	refused int    // of these
	bans    []string
	resend  []massResent // in order of time
}

// massResent is a request that its caller will send again.
type massResent struct {
	run *massRun
	at  time.Time
}

type massDaemon struct {
	*Table
	nextRound time.Time
}

type massServer struct {
	tag    uint32
	failAt time.Time // zero: never
	runs   []*massRun
}

// massRun is a run of a sound request.
type massRun struct {
	Run
	daemon   int
	attempts int
	firstAt  time.Time // of the first event
	endAt    time.Time
	told     bool // that it is sound
}

const (
	massStep      = 2 * time.Millisecond
	massPerStep   = 2 // requests of callers
	massRound     = 250 * time.Millisecond
	massFanout    = 3
	massAttempts  = 3
	massResend    = 100 * time.Millisecond // after which callers send a request again that has failed
	massSoundTime = 500 * time.Millisecond // after the first event, as in gateway/ingress
)

func newMassFailure(seed uint64, daemons, servers int) *massFailure {
	f := &massFailure{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0)}
	for i := range daemons {
		d := &massDaemon{Table: New(func() time.Time { return f.now })}
		d.Log = massLog{f, i}
		d.nextRound = f.now.Add(f.between(0, massRound))
		f.daemons = append(f.daemons, d)
	}
	for i := range servers {
		f.servers = append(f.servers, &massServer{tag: uint32(i)})
	}
	return f
}

// massLog records the bans that daemons decide on.
type massLog struct {
	f      *massFailure
	daemon int
}

func (l massLog) Quarantined(b Ban, crashes int) {
	if crashes > 0 {
		l.f.bans = append(l.f.bans, fmt.Sprintf("daemon %d: %+v", l.daemon, b))
	}
}

func (massLog) QuarantineLifted(Ban) {}

func (f *massFailure) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

func (s *massServer) down(now time.Time) bool { return !s.failAt.IsZero() && !now.Before(s.failAt) }

// receive has a daemon receive a new request.
func (f *massFailure) receive() {
	f.next++
	parts := []uint64{1000, 2000 + f.rng.Uint64N(3), 3000 + f.rng.Uint64N(40)}
	f.send(&massRun{Run: Run{Subject: Subject{Fingerprint: f.next, Parts: parts}}, daemon: f.rng.IntN(len(f.daemons))})
}

// send has the daemon send a request to a server that is not down, unless it is refused.
func (f *massFailure) send(r *massRun) {
	f.sent++
	if f.daemons[r.daemon].ShouldRefuse(&r.Subject) {
		f.refused++
		return
	}
	s := f.servers[f.rng.IntN(len(f.servers))]
	for s.down(f.now) {
		s = f.servers[f.rng.IntN(len(f.servers))]
	}
	r.attempts++
	r.Server, r.SentAt, r.told = s.tag, f.now, false
	r.firstAt = f.now.Add(f.between(20*time.Millisecond, 400*time.Millisecond))
	r.endAt = r.firstAt.Add(f.between(200*time.Millisecond, 2*time.Second))
	s.runs = append(s.runs, r)
}

// step advances the time and ends runs.
func (f *massFailure) step() {
	f.now = f.now.Add(massStep)
	var again []*massRun
	for _, s := range f.servers {
		var left []*massRun
		for _, r := range s.runs {
			d := f.daemons[r.daemon]
			sound := !f.now.Before(r.firstAt.Add(massSoundTime))
			switch {
			case s.down(f.now):
				r.AtStart, r.ServerDown = !sound, true
				d.RecordCrash(&r.Run)
				d.nextRound = f.now // Exchange.Trigger
				again = append(again, r)
			case !f.now.Before(r.endAt):
				f.recordSound(r)
				d.RecordCompleted(&r.Subject)
			default:
				if sound {
					f.recordSound(r)
				}
				left = append(left, r)
			}
		}
		s.runs = left
	}
	for _, r := range again {
		if r.attempts%massAttempts == 0 {
			f.resend = append(f.resend, massResent{r, f.now.Add(massResend)})
			continue
		}
		f.send(r)
	}
	for len(f.resend) > 0 && !f.now.Before(f.resend[0].at) {
		f.send(f.resend[0].run)
		f.resend = f.resend[1:]
	}
}

func (f *massFailure) recordSound(r *massRun) {
	if !r.told {
		r.told = true
		f.daemons[r.daemon].RecordSound(&r.Subject)
	}
}

// gossip has the daemons whose round is due send their news to a few others, which reply.
func (f *massFailure) gossip() {
	for i, d := range f.daemons {
		if f.now.Before(d.nextRound) {
			continue
		}
		d.nextRound = f.now.Add(massRound)
		news := d.News()
		for _, to := range f.rng.Perm(len(f.daemons))[:min(massFanout, len(f.daemons)-1)] {
			if to != i {
				f.daemons[to].Merge(&news)
				reply := f.daemons[to].News()
				d.Merge(&reply)
			}
		}
	}
}

// run plays until the given time after the failure of some of the servers, which is spread
// over 100 ms.
func (f *massFailure) run(failing int, after time.Duration) {
	const warmUp, spread = 3 * time.Second, 100 * time.Millisecond
	failAt := f.now.Add(warmUp)
	for _, i := range f.rng.Perm(len(f.servers))[:failing] {
		f.servers[i].failAt = failAt.Add(f.between(0, spread))
	}
	for f.now.Before(failAt.Add(after)) {
		if f.now.Equal(failAt) {
			f.sent, f.refused = 0, 0
		}
		f.step()
		for range massPerStep {
			f.receive()
		}
		f.gossip()
	}
}

// Load pattern: a fifth to a quarter of 90 servers fail within 100 ms, before 62 daemons,
// while all prompts share a few parts. Interrupted requests are sent again to servers of
// which some fail just after, one after the other, as if a part or a request crashed them.
// No sound request may be refused for it.
func TestMassFailure_RefusesNoSoundRequest(t *testing.T) {
	for seed := range uint64(3) {
		for _, failing := range []int{18, 22} {
			t.Run(fmt.Sprintf("seed=%d/failing=%d", seed, failing), func(t *testing.T) {
				t.Parallel()
				f := newMassFailure(seed, 62, 90)
				f.run(failing, 3*time.Second)
				if f.refused > 0 {
					t.Errorf("%d of %d requests refused; bans: %d", f.refused, f.sent, len(f.bans))
				}
				for _, b := range f.bans[:min(len(f.bans), 3)] {
					t.Log(b)
				}
			})
		}
	}
}

// Load pattern: as above, but a request that crashes servers comes again and again
// meanwhile. The servers that fail together with others do not protect it: it is refused
// after three crashes of its own.
func TestMassFailure_RequestThatCrashesServersIsRefused(t *testing.T) {
	is := is.New(t)
	f := newMassFailure(1, 62, 90)
	f.run(22, time.Second)
	r := starting(7, 1000, 2000, 3000)
	for n := range requestThreshold {
		is.True(!f.daemons[0].ShouldRefuse(&r.Subject))
		r.Server, r.SentAt = uint32(1000+n), f.now
		for range 15 {
			f.step()
		}
		f.daemons[0].RecordCrash(&r)
	}
	is.True(f.daemons[0].ShouldRefuse(&r.Subject))
}

// Load pattern: requests with a part that crashes servers come so fast that three of them
// do so within 90 ms, and no other server fails. It is refused at once.
func TestShouldRefuse_PartOfQuickCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range uint64(partThreshold) {
		r := starting(n, first, bad)
		r.Server, r.SentAt = uint32(n), f.now
		f.now = f.now.Add(30 * time.Millisecond)
		f.daemons[0].RecordCrash(&r)
	}
	is.Equal(f.refusing(first, bad), 1) // the daemon that knows of them
	f.gossip()
	is.Equal(f.refusing(first, bad), 2)
	is.Equal(f.refusing(first, sound), 0)
}

// Guards against refusing the part that all requests share because the reports of the runs
// with its companion, which crashes servers, arrive later than those of others.
func TestShouldRefuse_SparesFirstPartUntilAllReportsHaveArrived(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	began := f.now
	for n := range uint64(partThreshold) {
		r, cause := starting(n, first, sound+n), starting(100+n, first, bad)
		r.Server, r.SentAt = uint32(n), f.now
		cause.Server, cause.SentAt = uint32(n), f.now
		f.now = f.now.Add(160 * time.Millisecond)
		f.daemons[0].RecordCrash(&r)
		f.daemons[1].RecordCrash(&cause)
	}
	is.Equal(f.refusing(first, sound), 0)
	f.now = began.Add(900 * time.Millisecond)
	f.gossip()
	f.now = began.Add(2 * time.Second)
	f.gossip()
	is.Equal(f.refusing(first, sound), 0)
	is.Equal(f.refusing(first, bad), 2)
}

// Load pattern: a daemon first learns of the three failed servers that interrupted a request,
// or requests with a part, one after the other; the reports of other servers that failed with
// them arrive later, also at a daemon that has received the ban.
func TestMerge_ServersThatFailedTogetherLiftABan(t *testing.T) {
	for name, run := range map[string]func(n uint64) Run{
		"of a request": func(uint64) Run { return starting(7, first, 40, 50) },
		"of a part":    func(n uint64) Run { return starting(100+n, first, bad) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			for n := range uint64(partThreshold) {
				r := run(n)
				r.Server, r.SentAt = uint32(n), f.now
				f.now = f.now.Add(30 * time.Millisecond)
				f.daemons[0].RecordCrash(&r)
			}
			subject := run(9).Subject
			is.True(f.daemons[0].ShouldRefuse(&subject))
			news := f.daemons[0].News()
			f.daemons[1].Merge(&news)
			is.True(f.daemons[1].ShouldRefuse(&subject))
			for n := range uint64(minTogether) {
				r := starting(60+n, first, sound+n)
				r.Server, r.SentAt = uint32(20+n), f.now.Add(-time.Second)
				f.daemons[2].RecordCrash(&r)
			}
			f.gossip()
			f.gossip()
			for _, d := range f.daemons {
				is.True(!d.ShouldRefuse(&subject))
			}
		})
	}
}
