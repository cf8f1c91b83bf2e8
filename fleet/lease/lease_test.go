package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const duration = 3 * time.Second

// clock is a manually advanced clock.
type clock struct{ t time.Time }

func newClock() *clock { return &clock{t: time.Unix(1_000_000, 0)} }

func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

func TestLender_RefusesUntilEarlierLeasesExpire(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	lender := NewLender(duration, clock.now)

	is.True(!lender.Grant("runner", Holder{ID: "a"}).Granted)
	clock.advance(duration)
	is.True(lender.Grant("runner", Holder{ID: "a"}).Granted)
}

func TestLender_GrantsShareToSingleHolder(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	lender := NewLender(duration, clock.now)
	clock.advance(duration)
	a, b := Holder{ID: "a", Incarnation: 1}, Holder{ID: "b", Incarnation: 1}

	is.True(lender.Grant("runner", a).Granted)
	refused := lender.Grant("runner", b)
	is.True(!refused.Granted)
	is.Equal(refused.Holder, a)
	is.True(!lender.Grant("runner", Holder{ID: "a", Incarnation: 2}).Granted) // another incarnation counts as another holder

	lender.Release("runner", b) // ignored: b is not the holder
	is.True(!lender.Grant("runner", b).Granted)
	lender.Release("runner", a)
	is.True(lender.Grant("runner", b).Granted)
}

func TestShares_LeaseMeasuredFromSendTime(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	shares := NewShares(clock.now)

	sent := clock.now()
	clock.advance(time.Second) // delay of the grant
	shares.RecordGrant("runner", "lender", sent, duration, 1)
	is.Equal(shares.Fraction("runner").AllowedOf(8), 8)
	clock.advance(duration - time.Second) // expires 3 s after the claim was sent, not after receipt of the grant
	is.Equal(shares.Fraction("runner").AllowedOf(8), 0)
}

func TestFraction_RoundsDownButMajorityAllowsOne(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lenders  int
		group    int
		limit    int
		expected int
	}{
		{"all of nine", 9, 9, 8, 8},
		{"eight of nine", 8, 9, 9, 8},
		{"five of nine of a limit of one", 5, 9, 1, 1},
		{"four of nine of a limit of one", 4, 9, 1, 0},
		{"half of a limit of one", 1, 2, 1, 0},
		{"none", 0, 9, 8, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			clock := newClock()
			shares := NewShares(clock.now)
			for i := range tc.lenders {
				shares.RecordGrant("runner", string(rune('a'+i)), clock.now(), duration, tc.group)
			}
			is.Equal(shares.Fraction("runner").AllowedOf(tc.limit), tc.expected)
		})
	}
}

// TestShares_CountedBySingleHolder runs random sequences of claims, delayed
// grants, clock advances, restarts and releases. Two daemons that count the same
// share at the same time could together admit more than the limit.
func TestShares_CountedBySingleHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons, backend = 3, "runner"
		clock := newClock()
		fleet := newFleet(daemons, clock)
		steps := rapid.IntRange(10, 100).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			j := rapid.IntRange(0, daemons-1).Draw(t, "lender")
			switch rapid.SampledFrom([]int{0, 0, 0, 1, 1, 1, 2, 2, 3, 4}).Draw(t, "step") {
			case 0:
				fleet.claim(i, j, backend)
			case 1:
				fleet.deliver(rapid.IntRange(0, 3).Draw(t, "message"), backend)
			case 2:
				clock.advance(time.Duration(rapid.IntRange(1, 6).Draw(t, "sixths of the duration")) * duration / 6)
			case 3:
				fleet.restart(i)
			case 4:
				fleet.releaseAll(i, backend)
			}
			for lender := range daemons {
				if holders := fleet.holders(lender, backend); holders > 1 {
					t.Fatalf("%d daemons count the share of lender %d", holders, lender)
				}
			}
		}
	})
}

// grantMessage is a grant in transit to its holder.
type grantMessage struct {
	holder, lender int
	incarnation    uint64
	sent           time.Time
	duration       time.Duration
}

// fleet simulates daemons, each of which is a lender and a holder.
type fleet struct {
	clock        *clock
	lenders      []*Lender
	shares       []*Shares
	incarnations []uint64
	messages     []grantMessage
}

func newFleet(n int, clock *clock) *fleet {
	f := &fleet{clock: clock, lenders: make([]*Lender, n), shares: make([]*Shares, n), incarnations: make([]uint64, n)}
	for i := range n {
		f.restart(i)
	}
	return f
}

func (f *fleet) holder(i int) Holder {
	return Holder{ID: string(rune('a' + i)), Incarnation: f.incarnations[i]}
}

func (f *fleet) restart(i int) {
	f.incarnations[i]++
	f.lenders[i] = NewLender(duration, f.clock.now)
	f.shares[i] = NewShares(f.clock.now)
}

func (f *fleet) claim(i, j int, backend string) {
	decision := f.lenders[j].Grant(backend, f.holder(i))
	if decision.Granted {
		f.messages = append(f.messages, grantMessage{i, j, f.incarnations[i], f.clock.now(), decision.Duration})
	}
}

func (f *fleet) deliver(index int, backend string) {
	if index >= len(f.messages) {
		return
	}
	m := f.messages[index]
	f.messages = append(f.messages[:index:index], f.messages[index+1:]...)
	if m.incarnation == f.incarnations[m.holder] {
		f.shares[m.holder].RecordGrant(backend, f.holder(m.lender).ID, m.sent, m.duration, len(f.lenders))
	}
}

// releaseAll drops the holder's shares and the grants in transit to it, and
// releases the shares at all lenders. A real holder has no grants in transit at
// that point, because its calls to each lender are sequential.
func (f *fleet) releaseAll(i int, backend string) {
	f.shares[i].Drop(backend)
	kept := f.messages[:0]
	for _, m := range f.messages {
		if m.holder != i {
			kept = append(kept, m)
		}
	}
	f.messages = kept
	for _, lender := range f.lenders {
		lender.Release(backend, f.holder(i))
	}
}

// holders returns the number of daemons that count a lender's share now.
func (f *fleet) holders(lender int, backend string) int {
	id := f.holder(lender).ID
	n := 0
	for _, s := range f.shares {
		if share, ok := s.shares[backend][id]; ok && f.clock.now().Before(share.expires) {
			n++
		}
	}
	return n
}

func TestShares_ClaimDueAfterThirdOfLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	shares := NewShares(func() time.Time { return now })

	is.True(shares.ClaimDue("engine", "a")) // never held
	shares.RecordGrant("engine", "a", now, 3*time.Second, 9)
	is.True(!shares.ClaimDue("engine", "a"))
	is.True(shares.ClaimDue("engine", "b")) // share of another lender
	now = now.Add(time.Second)
	is.True(shares.ClaimDue("engine", "a"))
	is.Equal(shares.Fraction("engine").Lenders, 1) // still valid
	shares.RecordRefusal("engine", "a")
	is.True(shares.ClaimDue("engine", "a"))
}
