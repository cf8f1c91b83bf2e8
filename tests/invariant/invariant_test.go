// Package invariant tests the guarantees of a fleet under injected faults. It
// compares the responses that callers received with the records of the backend
// servers.
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

	"cassialatch.dev/config/setting"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/seal/ticket"
	"cassialatch.dev/tests/harness"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// noRetryClient sends each request once. An http.Transport retries only on a reused
// connection, and without keep-alives there is none.
var noRetryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request is a request to a daemon. Tests may send several copies of it.
type request struct {
	method, path, body string
	id, ticket, key    string
}

// bookingRequest returns the request that books id with a ticket.
func bookingRequest(id, ticket string) request {
	return request{method: "POST", path: "/svc/" + harness.Service + "/bookings", body: `{"id":"` + id + `"}`, id: id, ticket: ticket}
}

// response is the result of a request as its caller received it.
type response struct {
	status  int
	outcome outcome.Outcome
	code    outcome.Code
	body    string
	ticket  string
}

// toleratePauses makes the daemons of a fleet without faults ignore that a peer is
// silent for a while, since tests may get too little processor time.
func toleratePauses(s *setting.Settings) { s.Control.PeerTimeout = harness.WaitTimeout }

// send sends one copy of a request to a daemon.
func send(d *harness.Daemon, r request) response {
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
	resp, err := noRetryClient.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return response{outcome: outcome.NotRun}
		}
		return response{outcome: outcome.Unknown}
	}
	return readResponse(resp)
}

// readResponse reads a response. A response without an outcome in its header is
// complete only if its trailer has one.
func readResponse(resp *http.Response) response {
	defer resp.Body.Close()
	result := response{
		status:  resp.StatusCode,
		outcome: outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		code:    outcome.Code(resp.Header.Get(outcome.HeaderCode)),
		ticket:  resp.Header.Get(outcome.HeaderTicket),
	}
	body, err := io.ReadAll(resp.Body)
	result.body = string(body)
	switch {
	case result.outcome != "":
	case err != nil:
		result.outcome, result.code = outcome.Unknown, outcome.CodeResponseTruncated
	default:
		result.outcome = outcome.Outcome(resp.Trailer.Get(outcome.HeaderOutcome))
	}
	return result
}

// issueTicket returns an unused ticket of the current incarnation of a daemon.
func issueTicket(t testing.TB, d *harness.Daemon, expires time.Time) string {
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

// newTicket returns an unused ticket of a daemon that expires in one minute.
func newTicket(t testing.TB, d *harness.Daemon) string {
	t.Helper()
	return issueTicket(t, d, time.Now().Add(time.Minute))
}

// allAlive reports whether each daemon sees all others alive and not draining.
func allAlive(daemons []*harness.Daemon) bool {
	for _, d := range daemons {
		for _, other := range d.Node.Status().Daemons {
			if !other.Alive || other.Draining {
				return false
			}
		}
	}
	return true
}

// runningCalls returns the number of calls that the plain services are running.
func runningCalls(f *harness.Fleet) int {
	n := 0
	for _, s := range f.Services {
		n += s.Load().Running
	}
	return n
}

// bookingRuns waits until no call is running and returns how often a booking
// ran.
func bookingRuns(f *harness.Fleet, id string) int {
	f.Eventually("plain services idle", func() bool { return runningCalls(f) == 0 })
	n := 0
	for _, s := range f.Services {
		n += s.Ledger().Bookings[id]
	}
	return n
}

// checkOutcomes checks the responses to all copies of a booking against the
// number of its runs: at most one run, exactly one if any copy was answered, and
// none if any copy was reported as not run. It reports whether the booking did not
// run and was not answered, although it could have run.
func checkOutcomes(t testing.TB, runs int, responses ...response) (refused bool) {
	t.Helper()
	seen := make(map[outcome.Outcome]bool)
	for _, r := range responses {
		seen[r.outcome] = true
		if r.outcome != outcome.Answered && r.outcome != outcome.NotRun && r.outcome != outcome.Unknown {
			t.Errorf("response without an outcome: %+v", r)
		}
	}
	what := fmt.Sprintf("%d runs, responses %+v", runs, responses)
	switch {
	case runs > 1:
		t.Error("booking ran more than once: " + what)
	case seen[outcome.Answered] && runs != 1:
		t.Error("booking answered without a run: " + what)
	case seen[outcome.NotRun] && runs != 0:
		t.Error("booking reported as not run although it ran: " + what)
	}
	return runs == 0 && !seen[outcome.Answered]
}
