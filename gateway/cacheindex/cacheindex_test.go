package cacheindex

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
)

var (
	system  = call.Part{ID: 1, Tokens: 500}
	subject = call.Part{ID: 2, Tokens: 10_000}
	shared  = []call.Part{system, subject}
)

func lookup(x *Index, holders ...Holder) []Coverage {
	have := make([]Coverage, len(holders))
	x.Lookup(shared, holders, have)
	return have
}

func TestLookupCountsTokensAfterLastHeldPart(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.AddListed([]call.Part{system}, 8)
	have := lookup(x, 8, 9)
	is.Equal(have[0], Coverage{MissingTokens: 10_000, Ready: true})
	is.Equal(have[1], Coverage{MissingTokens: 10_500, Ready: true})
}

// Load pattern: a first part is shared so widely that the index does not store
// all its holders. A server that has a later part has the first one too.
func TestLookupInfersEarlierPartsFromLaterPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	x := New(func() time.Time { return now })
	x.MarkComputed(shared, 1)
	for h := range Holder(3 * maxHolders) {
		now = now.Add(time.Millisecond)
		x.MarkComputed([]call.Part{system, {ID: 100 + uint64(h), Tokens: 10_000}}, 2+h)
	}
	is.Equal(lookup(x, 1)[0], Coverage{MissingTokens: 0, Ready: true})
}

// Load pattern: requests whose prompts have the same first part run on all
// servers. Daemons must not relay ever more holders of this part, which would
// fill the queue and crowd out updates for the long parts.
func TestMerge_EndsRelayOfWidelySharedPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	a, b := New(clock), New(clock)
	for range 10 {
		for h := range Holder(5 * maxHolders) {
			now = now.Add(time.Millisecond)
			a.MarkComputed([]call.Part{system}, h)
		}
		b.Merge(a.NextEntries(Recipients{Subset: true}), true)
		a.Merge(b.NextEntries(Recipients{Subset: true}), true)
	}
	is.Equal(len(a.updates), 0)
	is.Equal(len(b.updates), 0)
}

func TestLookup_PendingUntilComputed(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.MarkPending(shared, 7)
	is.Equal(lookup(x, 7)[0], Coverage{MissingTokens: 0, Ready: false})
	x.MarkComputed(shared, 7)
	is.Equal(lookup(x, 7)[0], Coverage{MissingTokens: 0, Ready: true})
}

// Load pattern: servers respond to some requests with errors. A prompt
// that was refused in this way is no longer pending at the server, neither in
// this daemon's index nor in those of its peers.
func TestMarkRefused_ClearsPendingPrompt(t *testing.T) {
	is := is.New(t)
	a, b := New(time.Now), New(time.Now)
	a.MarkPending(shared, 7)
	b.Merge(a.NextEntries(Recipients{}), false)
	a.MarkRefused(shared, 7)
	b.Merge(a.NextEntries(Recipients{}), false)
	is.Equal(lookup(a, 7)[0], Coverage{MissingTokens: 10_500, Ready: true})
	is.Equal(lookup(b, 7)[0], Coverage{MissingTokens: 10_500, Ready: true})
}

// Load pattern: servers refuse part of their requests, in a large fleet. A
// relayed entry of a prompt that was pending must not make it pending again
// after the refusal, and the daemons stop sending updates for it.
func TestMarkRefused_RelayedUpdatesEnd(t *testing.T) {
	is := is.New(t)
	fleet := make([]*Index, 4)
	for i := range fleet {
		fleet[i] = New(time.Now)
	}
	exchange := func() {
		for _, from := range fleet {
			message := from.NextEntries(Recipients{Subset: true})
			for _, to := range fleet {
				if to != from {
					to.Merge(message, true)
				}
			}
		}
	}
	fleet[0].MarkPending(shared, 7)
	exchange()
	fleet[0].MarkRefused(shared, 7)
	for range 4 * updateSends {
		exchange()
	}
	for _, x := range fleet {
		is.Equal(len(x.updates), 0)
		is.Equal(lookup(x, 7)[0].MissingTokens, 10_500)
	}
}

// Parts that a server has computed for one request stay in the index when it
// refuses another request.
func TestMarkRefused_RetainsComputedParts(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.MarkComputed(shared, 7)
	x.MarkPending(shared, 7)
	x.MarkRefused(shared, 7)
	is.Equal(lookup(x, 7)[0], Coverage{MissingTokens: 0, Ready: true})
}

// A peer that received only the entry of the last part treated the prompt as
// unknown, so entries of all parts are sent.
func TestNextEntries_IncludesAllPartsOfPendingPrompt(t *testing.T) {
	is := is.New(t)
	a, b := New(time.Now), New(time.Now)
	a.MarkPending(shared, 7)
	b.Merge(a.NextEntries(Recipients{}), false)
	is.Equal(lookup(b, 7)[0], Coverage{MissingTokens: 0, Ready: false})
	a.MarkComputed(shared, 7)
	b.Merge(a.NextEntries(Recipients{}), false)
	is.Equal(lookup(b, 7)[0], Coverage{MissingTokens: 0, Ready: true})
}

// Load pattern: all daemons restart at once. A daemon that starts later
// receives the whole index of the others in their regular messages.
func TestNextEntries_SendsIndexToNewPeer(t *testing.T) {
	is := is.New(t)
	a, b := New(time.Now), New(time.Now)
	const parts = 300
	for i := range uint64(parts) {
		a.AddListed([]call.Part{{ID: 100 + i, Tokens: 10}}, 7)
	}
	for range parts/newPeerRefreshParts + 1 {
		b.Merge(a.NextEntries(Recipients{NewPeer: true}), false)
	}
	is.Equal(len(b.parts), parts)
}

func TestMerge_PreservesAgeOfEntries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	a, b := New(clock), New(clock)
	a.MarkComputed(shared, 7)
	for range 10 { // two daemons exchange messages
		now = now.Add(partTTL / 5)
		b.Merge(a.NextEntries(Recipients{NewPeer: true}), false)
		a.Merge(b.NextEntries(Recipients{NewPeer: true}), false)
	}
	all := func(Holder) bool { return true }
	a.Expire(all)
	b.Expire(all)
	is.Equal(lookup(a, 7)[0].MissingTokens, 10_500)
	is.Equal(lookup(b, 7)[0].MissingTokens, 10_500)
}

func TestExpireRemovesPartsOfRemovedServers(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.AddListed(shared, 7)
	x.AddListed(shared, 8)
	x.Expire(func(h Holder) bool { return h == 8 })
	have := lookup(x, 7, 8)
	is.Equal(have[0].MissingTokens, 10_500)
	is.Equal(have[1].MissingTokens, 0)
}

func TestIndex_LimitsSize(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	for i := range uint64(2 * maxParts) {
		x.MarkPending([]call.Part{{ID: i}}, 7)
	}
	for h := range Holder(20) {
		x.MarkPending(shared[:0:0], h)
		x.AddListed([]call.Part{{ID: 1}}, h)
	}
	is.True(len(x.parts) <= maxParts)
	is.True(len(x.parts[1]) <= maxHolders)
	is.True(len(x.updates) <= maxUpdates)
	is.True(x.DroppedUpdates() > 0)
}

// Load pattern: sixty daemons, each of which sends messages to three others
// at random and replies to those it receives. Within two seconds, the index of
// 99 of 100 daemons has a prompt that one daemon had computed, so that it is
// hardly ever computed again.
func TestNextEntries_ReachLargeFleet(t *testing.T) {
	is := is.New(t)
	const (
		daemons = 60
		fanout  = 3
		rounds  = 8 // of 250 ms
		prompts = 300
	)
	random := rand.New(rand.NewPCG(1, 2))
	fleet := make([]*Index, daemons)
	for i := range fleet {
		fleet[i] = New(time.Now)
	}
	for p := range uint64(prompts) {
		fleet[random.IntN(daemons)].MarkComputed([]call.Part{{ID: 100 + p, Tokens: 10_000}}, 7)
	}
	for range rounds {
		for i, from := range fleet {
			message := from.NextEntries(Recipients{Subset: true})
			for range fanout {
				to := fleet[(i+1+random.IntN(daemons-1))%daemons]
				to.Merge(message, true)
				from.Merge(to.NextEntries(Recipients{Subset: true}), true)
			}
		}
	}
	unknown := 0
	for _, x := range fleet {
		unknown += prompts - len(x.parts)
	}
	is.True(100*unknown <= daemons*prompts)
}

// In a large fleet an entry waits in queues and is sent several times, by daemon
// after daemon. It must not look as recently used at the last as at the first.
func TestNextEntries_AgeGrowsWhileQueued(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	x := New(func() time.Time { return now })
	const received = 5000 // milliseconds
	x.Merge([]Entry{
		{Part: KeyOf(system), Holder: 1, AgeMS: received},
		{Part: KeyOf(subject), Holder: 1}, // still to be computed
	}, true)
	for sends := range updateSends {
		now = now.Add(time.Second)
		entries := x.NextEntries(Recipients{Subset: true})
		is.Equal(entries[0], Entry{Part: KeyOf(system), Holder: 1, AgeMS: uint32(received + 1000*(sends+1))})
		is.Equal(entries[1], Entry{Part: KeyOf(subject), Holder: 1})
	}
	x.MarkPending([]call.Part{{ID: 3, Tokens: 1}}, 1)
	x.MarkRefused([]call.Part{{ID: 3, Tokens: 1}}, 1)
	now = now.Add(time.Second)
	is.Equal(x.NextEntries(Recipients{})[1].AgeMS, uint32(ageNotComputed))
}
