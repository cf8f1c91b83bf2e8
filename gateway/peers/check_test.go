package peers

import (
	"context"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/quarantine"
)

// oddMessages are messages that no daemon sends.
func oddMessages(e *Exchange) map[string]*Message {
	confirmed := func(m *Message) *Message {
		m.Revision, m.Hash = 6, e.catalog.View().Hash
		return m
	}
	return map[string]*Message{
		"age that overflows":         confirmed(&Message{AgeMS: math.MaxInt64 / 2}),
		"age below none":             confirmed(&Message{AgeMS: math.MinInt64}),
		"revision":                   {AgeMS: -1, Revision: -1},
		"requests":                   confirmed(&Message{InFlight: []InFlight{{Server: 1, Requests: math.MaxInt}}}),
		"negative requests":          confirmed(&Message{InFlight: []InFlight{{Server: 1, Requests: -9}}}),
		"tokens":                     confirmed(&Message{InFlight: []InFlight{{Server: 1, Requests: 1, Tokens: math.MinInt}}}),
		"relayed name":               confirmed(&Message{Relayed: []RelayedPeer{{IP: "localhost"}}}),
		"relayed nothing":            confirmed(&Message{Relayed: []RelayedPeer{{}}}),
		"relayed unspecified":        confirmed(&Message{Relayed: []RelayedPeer{{IP: "0.0.0.0"}}}),
		"relayed age that overflows": confirmed(&Message{Relayed: []RelayedPeer{{IP: "10.0.0.7", AgeMS: math.MaxInt64 / 2}}}),
		"crash age that overflows":   confirmed(&Message{CrashNews: quarantine.News{Crashes: []quarantine.Crash{{ID: 1, AgeMS: math.MinInt64}}}}),
		"ban age that overflows":     confirmed(&Message{CrashNews: quarantine.News{Bans: []quarantine.Ban{{Fingerprint: 1, AgeMS: math.MaxInt64}}}}),
	}
}

// Guards against a datagram of something else, or of a faulty daemon, whose numbers
// overflow: an age that makes a confirmation appear fresh, counts that hide the load
// of a server, addresses that are not of a daemon.
func TestHandle_RejectsOddMessages(t *testing.T) {
	e, _ := newExchange(&fakeClock{})
	for name := range oddMessages(e) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ck := &fakeClock{now: boottime.Instant(time.Hour)}
			e, fetcher := newExchange(ck)
			var rejected error
			e.OnReject = func(_ string, err error) { rejected = err }
			ck.now = ck.now.Add(20 * time.Second)
			known := len(e.table.peers)
			e.handle(context.Background(), "10.0.0.2", datagram(t,
				header{incarnation: 1, sentAt: 1, echoIncarnation: 77, echo: ck.now}, oddMessages(e)[name]))
			var bad *MessageError
			is.True(errors.As(rejected, &bad))
			age, _ := e.catalog.Age()
			is.Equal(age, 20*time.Second)
			is.Equal(len(e.table.peers), known)
			is.Equal(len(e.table.Alive()), 0)
			is.Equal(len(fetcher.fetched), 0)
		})
	}
}

// What daemons send is not rejected, whatever the limits.
func TestHandle_AcceptsMessagesOfDaemons(t *testing.T) {
	is := is.New(t)
	e := newFleetMember(largeFleet)
	recipient, _ := newExchange(&fakeClock{now: boottime.Instant(time.Hour)})
	recipient.OnReject = func(_ string, err error) { t.Error(err) }
	recipient.handle(context.Background(), "10.9.0.1", datagramOf(e))
	is.Equal(len(recipient.table.Alive()), 1+maxRelayed)
}

func FuzzStateResponse(f *testing.F) {
	f.Add(`{"Revision":3,"age_ms":5,"Servers":[{"id":"a","service":"s","address":"10.0.0.1:1"}]}`)
	f.Add(`{"Revision":3,"age_ms":5,"packed":"AAAA"}`)
	f.Add(`{"Revision":3,"age_ms":1e300}`)
	f.Add(strings.Repeat("[", 300))
	f.Fuzz(func(t *testing.T, body string) {
		r, err := decodeResponse(io.NopCloser(strings.NewReader(body)))
		if err == nil && (r.Revision <= 0 || !isAge(r.AgeMS)) {
			t.Fatalf("confirmed by %+v", r)
		}
	})
}
