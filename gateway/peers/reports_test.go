package peers

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/serverstate"
)

// previousFormat is a datagram of the build before ServerReports, written by that build: of
// a daemon that is ready, has two requests in flight at server 5, has observed a crash, and
// relays 10.0.0.3.
const previousFormat = "0100000000000000020000000000000000000000000000000000000000000000" +
	"8af485f5f4f4f4190102060020818305021903e8848188090507f6f4f4181e1828f6f6f6" +
	"818303050181846831302e302e302e330585f5f4f4f400f6f4"

// newReportingExchange returns an exchange that shares the state of servers.
func newReportingExchange(ck *fakeClock) *Exchange {
	e, _ := newExchange(ck)
	e.ShareServerState(serverstate.New(time.Now))
	return e
}

func decodeHex(t *testing.T, s string) []byte {
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Load pattern: a build that exchanges reports replaces one that does not, daemon after
// daemon. Guards against daemons that do not hear each other meanwhile.
func TestHandle_AcceptsPreviousFormat(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
	e := newReportingExchange(ck)
	e.OnReject = func(_ string, err error) { t.Error(err) }
	e.handle(t.Context(), "10.0.0.2", decodeHex(t, previousFormat))
	alive := e.table.Alive()
	is.Equal(len(alive), 2)
	is.True(alive[0].Ready)
	is.Equal(alive[0].inFlight, []InFlight{{Server: 5, Requests: 2, Tokens: 1000}})
}

// previousMessage has the fields of Message in the previous format.
type previousMessage struct {
	_               struct{} `cbor:",toarray"`
	Reply           bool
	State           State
	Revision        int64
	Hash            uint64
	AgeMS           int64
	InFlight        []InFlight
	CrashNews       quarantine.News
	CacheUpdates    []cacheindex.Entry
	Relayed         []RelayedPeer
	RelayedInFlight bool
}

// previous returns the encoding of a message by the previous build.
func previous(t *testing.T, m *Message) []byte {
	body, err := cbor.Marshal(&previousMessage{
		Reply: m.Reply, State: m.State, Revision: m.Revision, Hash: m.Hash, AgeMS: m.AgeMS, InFlight: m.InFlight, CrashNews: m.CrashNews,
		CacheUpdates: m.CacheUpdates, Relayed: m.Relayed, RelayedInFlight: m.RelayedInFlight,
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// What is sent to daemons of the previous build, and what a daemon without news sends to
// any, is in the previous format, byte for byte.
func TestBodyFor_PreviousFormatIfTheRecipientNeedsItOrWithoutNews(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
	e := newReportingExchange(ck)
	earlierBuild, sameBuild := target{incarnation: 77}, target{incarnation: e.incarnation}
	quiet := e.message()
	is.True(bytes.Equal(bodyFor(&sameBuild, quiet, encode(quiet)), previous(t, quiet)))
	e.servers.RecordRefused(1)
	m := e.message()
	is.Equal(len(m.ServerReports), 1)
	is.True(bytes.Equal(bodyFor(&earlierBuild, m, encode(m)), previous(t, m)))
	body := bodyFor(&sameBuild, m, encode(m))
	is.True(len(body) > len(previous(t, m)))
	is.True(bytes.Equal(bodyFor(&target{}, m, encode(m)), body)) // not heard from yet
}

// The switch is off: neither the datagrams nor the state of servers change.
func TestExchange_WithoutServerStateSendsAndUsesNoReports(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
	sharing := newReportingExchange(ck)
	sharing.servers.RecordRefused(1)
	off, _ := newExchange(ck)
	off.OnReject = func(_ string, err error) { t.Error(err) }
	off.handle(t.Context(), "10.0.0.2", datagramOf(sharing))
	is.Equal(len(off.table.Alive()), 1)
	is.Equal(len(off.message().ServerReports), 0)
}

// Load pattern: two daemons of 62 find a server that refuses connections and one that is
// slow. A third one learns it from a relayed report.
func TestExchange_RelaysServerReports(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
	a, b, c := newReportingExchange(ck), newReportingExchange(ck), newReportingExchange(ck)
	a.servers.RecordRefused(1)
	a.servers.RecordPace(2, 350)
	b.handle(t.Context(), "10.0.0.2", datagramOf(a))
	c.handle(t.Context(), "10.0.0.3", datagramOf(b))
	states := make([]serverstate.State, 2)
	c.servers.Lookup([]uint32{1, 2}, states)
	is.True(states[0].Refused)
	is.Equal(states[1].Pace, 3.5)
}

// Guards against reports that no daemon sends: too many, with numbers that overflow, or
// something else after the message.
func TestHandle_RejectsOddServerReports(t *testing.T) {
	odd := map[string]any{
		"too many":        make([]serverstate.Report, serverstate.MaxReports+1),
		"unknown kind":    []serverstate.Report{{Kind: serverstate.KindResponded + 1}},
		"negative age":    []serverstate.Report{{AgeMS: -1}},
		"age":             []serverstate.Report{{AgeMS: 1 << 40}},
		"negative value":  []serverstate.Report{{Kind: serverstate.KindRefused, Value: -1}},
		"value":           []serverstate.Report{{Kind: serverstate.KindRefused, Value: 1 << 40}},
		"something else":  "text",
		"fields missing":  [][]int{{1, 2}},
		"tag of 64 bits":  [][]int{{1 << 40, 1, 1, 1}},
		"list in reports": [][]any{{1, 1, []int{1}, 1}},
	}
	for name, reports := range odd {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ck := &fakeClock{now: boottime.Instant(10 * time.Second)}
			e := newReportingExchange(ck)
			var rejected error
			e.OnReject = func(_ string, err error) { rejected = err }
			item, err := cbor.Marshal(reports)
			is.NoErr(err)
			e.handle(context.Background(), "10.0.0.2", append(decodeHex(t, previousFormat), item...))
			var bad *MessageError
			is.True(errors.As(rejected, &bad))
			is.Equal(bad.Field, "ServerReports")
			is.Equal(len(e.table.Alive()), 0)
		})
	}
}

// FuzzServerReports fuzzes what follows the message in a datagram.
func FuzzServerReports(f *testing.F) {
	item, err := cbor.Marshal([]serverstate.Report{{Server: 1, Kind: serverstate.KindRefused, Value: 1, AgeMS: 5}, {Server: 2, Value: 350}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(item)
	message, err := hex.DecodeString(previousFormat)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, reports []byte) {
		e := newReportingExchange(&fakeClock{now: 1})
		e.handle(context.Background(), "10.0.0.2", append(bytes.Clone(message), reports...))
		if n := len(e.servers.News()); n > serverstate.MaxReports {
			t.Fatalf("%d reports", n)
		}
	})
}
