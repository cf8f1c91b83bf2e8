// Package invariant provokes failures and holds what callers were told against
// the accounts of the backend servers.
package invariant

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/seal/ticket"
	"cassialatch.dev/tests/harness"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// once is a transport that never sends a request a second time by itself.
var once = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request is one copy of a call to a daemon.
type request struct {
	method, path, body string
	id, ticket, key    string
}

// booking returns the call that books id.
func booking(id, ticket string) request {
	return request{method: "POST", path: "/svc/" + harness.Service + "/bookings", body: `{"id":"` + id + `"}`, id: id, ticket: ticket}
}

// reply is what a caller was told.
type reply struct {
	status  int
	outcome outcome.Outcome
	code    outcome.Code
	body    string
	ticket  string
}

// send sends one copy to a daemon.
func send(d *harness.Daemon, r request) reply {
	req, err := http.NewRequest(r.method, "http://"+d.Settings.Listen.Caller+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	for name, value := range map[string]string{
		outcome.HeaderWorkspace: harness.Workspace, outcome.HeaderRequestID: r.id,
		outcome.HeaderTicket: r.ticket, outcome.HeaderIdempotencyKey: r.key,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := once.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return reply{outcome: outcome.NotRun}
		}
		return reply{outcome: outcome.Unknown}
	}
	return read(resp)
}

// read takes an answer, which is whole only when its trailer says so.
func read(resp *http.Response) reply {
	defer resp.Body.Close()
	told := reply{
		status:  resp.StatusCode,
		outcome: outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		code:    outcome.Code(resp.Header.Get(outcome.HeaderCode)),
		ticket:  resp.Header.Get(outcome.HeaderTicket),
	}
	body, err := io.ReadAll(resp.Body)
	told.body = string(body)
	switch {
	case told.outcome != "":
	case err != nil:
		told.outcome, told.code = outcome.Unknown, outcome.CodeResponseTruncated
	default:
		told.outcome = outcome.Outcome(resp.Trailer.Get(outcome.HeaderOutcome))
	}
	return told
}

// issue returns an unused ticket of a daemon's present incarnation.
func issue(t testing.TB, d *harness.Daemon, expires time.Time) string {
	t.Helper()
	ring, err := keyring.New([]keyring.Key{{ID: d.Settings.Keys[0].ID, Secret: d.Settings.Keys[0].Secret}})
	if err != nil {
		t.Fatal(err)
	}
	text := d.Node.Status().Incarnation
	incarnation, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		t.Fatal(err)
	}
	return ticket.Issue(ring, ticket.Ticket{
		Executor: d.Settings.ID, Peer: d.Settings.Listen.Peer, Incarnation: incarnation, Expires: expires,
	})
}

// fresh returns an unused ticket of a daemon.
func fresh(t testing.TB, d *harness.Daemon) string {
	t.Helper()
	return issue(t, d, time.Now().Add(time.Minute))
}

// linked reports whether all daemons hear each other.
func linked(daemons []*harness.Daemon) bool {
	for _, d := range daemons {
		for _, other := range d.Node.Status().Daemons {
			if !other.Alive || other.Draining {
				return false
			}
		}
	}
	return true
}

// running returns how many calls the plain services run now.
func running(f *harness.Fleet) int {
	n := 0
	for _, s := range f.Services {
		n += s.Load().Running
	}
	return n
}

// runs returns how often a booking ran, once no call runs any longer.
func runs(f *harness.Fleet, id string) int {
	f.Eventually("plain services idle", func() bool { return running(f) == 0 })
	n := 0
	for _, s := range f.Services {
		n += s.Ledger().Bookings[id]
	}
	return n
}

// ledger holds what callers were told of one booking against its runs. It
// reports whether the booking could have run and was refused.
func ledger(t testing.TB, runs int, told ...reply) (refused bool) {
	t.Helper()
	seen := make(map[outcome.Outcome]bool)
	for _, r := range told {
		seen[r.outcome] = true
		if r.outcome != outcome.Answered && r.outcome != outcome.NotRun && r.outcome != outcome.Unknown {
			t.Errorf("a caller was told no outcome: %+v", r)
		}
	}
	what := fmt.Sprintf("%d runs; callers were told %+v", runs, told)
	switch {
	case runs > 1:
		t.Error("ran more than once: " + what)
	case seen[outcome.Answered] && runs != 1:
		t.Error("answered without a run: " + what)
	case seen[outcome.NotRun] && runs != 0:
		t.Error("not-run of a booking that ran: " + what)
	}
	return runs == 0 && !seen[outcome.Answered]
}
