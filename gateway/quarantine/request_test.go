package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// popular is a request that many callers send.
var popular = Subject{Fingerprint: 7}

// refusingRequest returns how many daemons refuse a request.
func (f *fleet) refusingRequest(s *Subject) int {
	n := 0
	for _, d := range f.daemons {
		if d.ShouldRefuse(s) {
			n++
		}
	}
	return n
}

// lose lets a server that goes on listening lose the response to a run of a daemon.
func (f *fleet) lose(daemon int, server uint32, s Subject) {
	r := Run{Subject: s, Server: server, SentAt: f.now}
	f.now = f.now.Add(15 * time.Millisecond)
	f.daemons[daemon].RecordCrash(&r)
	f.now = f.now.Add(300 * time.Millisecond)
}

// Guards against taking different requests for one: they differ in their query or method.
func TestFingerprint_DiffersByWhatIsAskedFor(t *testing.T) {
	is := is.New(t)
	seen := make(map[uint64]bool)
	for _, method := range []string{"GET", "HEAD"} {
		for _, target := range []string{"/p", "/p?item=1", "/p?item=2", "/p/item"} {
			for _, key := range []string{"key", "other"} {
				for _, body := range []string{"", "body"} {
					seen[Fingerprint(method, "h", target, key, []byte(body))] = true
				}
			}
		}
	}
	is.Equal(len(seen), 2*4*2*2)
}

// Load pattern: for four seconds three of five servers lose four in ten responses, to a
// request that many callers send and to others, at nine daemons that send each other their
// news. Guards against refusing that request at all daemons as one that crashes servers,
// for a minute: the servers accept connections all the while, and answer most runs.
func TestShouldRefuse_SparesRequestWhoseResponsesAreLost(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(9)
		rng := rand.New(rand.NewPCG(seed, 0))
		unique := uint64(1000)
		for step := range 400 {
			subject := popular
			if rng.IntN(3) == 0 {
				unique++
				subject.Fingerprint = unique
			}
			daemon, server := rng.IntN(9), uint32(rng.IntN(5))
			sent := f.now
			f.now = f.now.Add(10 * time.Millisecond)
			if server < 3 && rng.Float64() < 0.4 {
				f.daemons[daemon].RecordCrash(&Run{Subject: subject, Server: server, SentAt: sent.Add(-5 * time.Millisecond)})
			} else {
				f.daemons[daemon].RecordCompleted(&subject)
			}
			if step%20 == 0 { // another request in five rounds is under way for longer
				f.gossip()
			}
			if n := f.refusingRequest(&popular); n > 0 {
				t.Fatalf("seed %d, %d ms: %d daemons refuse the request", seed, 10*step, n)
			}
		}
	}
}

// A request that breaks each of its runs is refused although the servers go on listening:
// only a part of each has crashed, or it is back at once. It takes more runs, on several
// servers, and the ban is short.
func TestShouldRefuse_RequestThatBreaksRunsOfListeningServers(t *testing.T) {
	for _, servers := range []uint32{1, 2, 5} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			for n := range uint32(lostThreshold) {
				is.Equal(f.refusingRequest(&popular), 0)
				f.lose(int(n)%3, n%servers, popular)
				f.gossip()
			}
			if servers < minLostServers {
				is.Equal(f.refusingRequest(&popular), 0)
				return
			}
			is.Equal(f.refusingRequest(&popular), 3)
			f.now = f.now.Add(lostTTL)
			is.Equal(f.refusingRequest(&popular), 0)
			f.lose(0, 1, popular) // the next one is enough
			f.gossip()
			is.Equal(f.refusingRequest(&popular), 3)
		})
	}
}

// Guards against refusing a request whose responses get lost on servers that lose those to
// other requests, too.
func TestShouldRefuse_SparesRequestOnServersThatLoseOtherResponses(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range uint64(3 * lostThreshold) {
		f.lose(0, uint32(n%2), popular)
		f.lose(1, uint32(n%2), Subject{Fingerprint: 100 + n})
		f.gossip()
		is.Equal(f.refusingRequest(&popular), 0)
	}
}

// Guards against refusing a request that many callers send because several servers with
// runs of it fail at the same moment.
func TestShouldRefuse_SparesPopularRequestAfterMassCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	sent := f.now
	f.now = f.now.Add(time.Second)
	for n := range uint32(20) {
		f.now = f.now.Add(5 * time.Millisecond)
		f.daemons[n%3].RecordCrash(&Run{Subject: popular, Server: n, SentAt: sent, ServerDown: true})
	}
	f.gossip()
	is.Equal(f.refusingRequest(&popular), 0)
}

// crashThrice lets three servers crash, one after the other, while they run the popular request.
// The daemons have heard of all three.
func (f *fleet) crashThrice() {
	for range requestThreshold {
		f.crash(Run{Subject: popular, ServerDown: true})
	}
}

// A ban of a request ends at all daemons as soon as a run that was in progress shows that
// it was wrong, and does not come back from one that has not heard of it yet. Daemons that
// know nothing but the ban pass the proof on.
func TestRecordCompleted_LiftsBan(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.crashThrice()
	f.daemons[3] = New(func() time.Time { return f.now }) // has restarted
	f.now = f.now.Add(time.Minute / 2)
	f.gossip()
	is.Equal(f.refusingRequest(&popular), 4)
	outdated := f.daemons[2].News()
	f.daemons[3].RecordCompleted(&popular)
	f.gossip()
	f.gossip()
	is.Equal(f.refusingRequest(&popular), 0)
	f.daemons[1].Merge(&outdated)
	is.Equal(f.refusingRequest(&popular), 0)
	f.crashThrice()
	is.Equal(f.refusingRequest(&popular), 4)
}

// Guards against a ban that holds although a run between the crashes went well, at a
// daemon whose report arrives after the ban, or that had not heard of the crashes yet.
func TestRecordCompleted_LiftsBanOfEarlierCrashes(t *testing.T) {
	for name, heard := range map[string]bool{"heard of a crash": true, "heard of none": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			crash := func(server uint32) {
				sent := f.now
				f.now = f.now.Add(300 * time.Millisecond)
				f.daemons[0].RecordCrash(&Run{Subject: popular, Server: server, SentAt: sent, ServerDown: true})
			}
			crash(1)
			crash(2)
			if heard {
				f.gossip()
			}
			f.now = f.now.Add(300 * time.Millisecond)
			f.daemons[1].RecordCompleted(&popular)
			crash(3)
			is.True(f.daemons[0].ShouldRefuse(&popular))
			f.gossip()
			f.gossip()
			is.Equal(f.refusingRequest(&popular), 0)
			crash(4)
			is.Equal(f.refusingRequest(&popular), 0)
			crash(5)
			f.gossip()
			is.Equal(f.refusingRequest(&popular), 3)
		})
	}
}

// Guards against a part that stays refused although a run between the crashes went well, at a
// daemon whose report arrives after the ban.
func TestRecordSound_LiftsBanOfEarlierCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range uint64(partThreshold) {
		r := starting(n, first, bad)
		r.Server, r.SentAt = uint32(n), f.now
		f.now = f.now.Add(time.Second)
		f.daemons[0].RecordCrash(&r)
		if n == 1 {
			news := f.daemons[0].News()
			f.daemons[1].Merge(&news)
			f.now = f.now.Add(time.Second)
			f.daemons[1].RecordSound(&Subject{Parts: []uint64{first, bad}})
		}
	}
	is.True(f.daemons[0].ShouldRefuse(&Subject{Parts: []uint64{first, bad}}))
	f.gossip()
	is.Equal(f.refusing(first, bad), 0)
}

// Guards against extending the ban of a request by responses that servers only lose.
func TestRecordCrash_LostResponseExtendsNoBan(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.crashThrice()
	f.now = f.now.Add(requestTTL - 2*time.Second)
	f.lose(0, 100, popular)
	f.gossip()
	is.Equal(f.refusingRequest(&popular), 2)
	f.now = f.now.Add(2 * time.Second)
	is.Equal(f.refusingRequest(&popular), 0)
}

// Guards against lifting the ban of a request that has crashed enough servers since the run
// that went well.
func TestRecordCompleted_JudgesLaterCrashesAnew(t *testing.T) {
	for later, refused := range map[int]bool{requestThreshold - 1: false, requestThreshold: true} {
		t.Run(fmt.Sprint(later, " crashes since"), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			table := f.daemons[0]
			f.crash(Run{Subject: popular, ServerDown: true})
			completed := f.now
			f.now = f.now.Add(time.Second)
			for range later {
				f.crash(Run{Subject: popular, ServerDown: true})
			}
			is.True(table.ShouldRefuse(&popular))
			age := f.now.Sub(completed).Milliseconds()
			table.Merge(&News{Completed: []CompletedRequest{{Fingerprint: popular.Fingerprint, AgeMS: age}}})
			is.Equal(table.ShouldRefuse(&popular), refused)
		})
	}
}

// Guards against refusing a request that many callers send and that is sent on kept
// connections of servers which have crashed already: each of them breaks as well.
func TestShouldRefuse_SparesPopularRequestOnServersThatAreDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range uint32(20) {
		r := Run{Subject: popular, Server: n % 2, SentAt: f.now, ServerDown: true}
		f.now = f.now.Add(40 * time.Millisecond)
		f.daemons[n/2%2].RecordCrash(&r)
		f.gossip()
		is.Equal(f.refusingRequest(&popular), 0)
	}
}
