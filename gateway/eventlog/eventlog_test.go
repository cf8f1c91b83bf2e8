package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/ingress"
	"cassialatch.dev/gateway/placement"
)

// stallableWriter is a log output that blocks while gate is locked.
type stallableWriter struct {
	gate sync.Mutex
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (o *stallableWriter) Write(p []byte) (int, error) {
	o.gate.Lock()
	defer o.gate.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *stallableWriter) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.buf.String()), "\n")
}

// Load pattern: a peak of requests while the process that reads the log is
// stalled.
// Lines must be dropped and counted, and writes must not block.
func TestWriter_DropsLinesWhileOutputIsStalled(t *testing.T) {
	is := is.New(t)
	out := &stallableWriter{}
	out.gate.Lock()
	w := NewWriter(out)
	const lines = 4 * queueSize
	line := []byte(strings.Repeat("x", 300) + "\n")
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(w.Dropped() >= lines/2)
	is.True(w.Dropped() > 0)
	out.gate.Unlock()
	w.Close(10 * time.Second)
	written := out.lines()
	is.True(strings.Contains(strings.Join(written, "\n"), "log_lines_dropped"))
	is.True(len(written) < lines)
}

// The log line with the ID of a failed request must state the cause, for the
// three kinds of failure that the operations manual explains.
func TestLog_RequestLineStatesCauseOfFailure(t *testing.T) {
	is := is.New(t)
	out := &stallableWriter{}
	w := NewWriter(out)
	log := New(w, "edge-1")
	log.StoreUnavailable(errors.New("no answer"), 900*time.Millisecond)
	for _, r := range []ingress.Record{
		{ID: "refused", Outcome: ingress.OutcomeNotRun, Status: 503, Reason: ingress.ReasonKeyLeaseExpired,
			ConfigVersion: 4, StoreRevision: 17, ConfirmedAge: 4963 * time.Millisecond},
		{ID: "no room", Outcome: ingress.OutcomeNotRun, Status: 503, Reason: ingress.ReasonNoRoom, Waited: 120 * time.Millisecond},
		{ID: "broken", Outcome: ingress.OutcomeUnknown, Status: 502, Reason: ingress.ReasonConnectionBroken, Attempts: []ingress.Attempt{
			{Server: "i-1", Cause: placement.CauseLoad, InFlight: 3, Reason: ingress.ReasonConnectionBroken, Detail: "reset by peer"}}},
		{ID: "late", PromptKey: 0x5c1e07a2, Outcome: ingress.OutcomeUnknown, Status: 504, Reason: ingress.ReasonDeadline, Duration: 400 * time.Millisecond,
			Attempts: []ingress.Attempt{{Server: "i-2", InFlight: 60, QueuedTokens: 9000, Reason: ingress.ReasonDeadline}}},
	} {
		log.Request(&r)
	}
	w.Close(10 * time.Second)
	byID := make(map[string]map[string]any)
	for _, line := range out.lines() {
		var fields map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &fields))
		is.Equal(fields["daemon"], "edge-1")
		if id, ok := fields["id"].(string); ok {
			byID[id] = fields
		}
	}
	is.Equal(byID["refused"]["reason"], "configuration_not_confirmed")
	is.Equal(byID["refused"]["confirmed_ms"], 4963.0)
	is.Equal(byID["refused"]["version"], 4.0)
	is.Equal(byID["no room"]["reason"], "no_room")
	is.Equal(byID["no room"]["waited_ms"], 120.0)
	is.Equal(byID["refused"]["waited_ms"], nil)
	attempt := func(id string) map[string]any { return byID[id]["attempts"].([]any)[0].(map[string]any) }
	is.Equal(byID["broken"]["outcome"], "unknown")
	is.Equal(attempt("broken")["server"], "i-1")
	is.Equal(attempt("broken")["detail"], "reset by peer")
	is.Equal(attempt("late")["reason"], "deadline")
	is.Equal(attempt("late")["in_flight"], 60.0)
	is.Equal(attempt("late")["queued_tokens"], 9000.0)
	is.Equal(byID["late"]["prompt"], "5c1e07a2")
}

// Guards against a process that ends by a panic while it stops: its goroutines
// still log while the writer is being closed and after that.
func TestWriter_WritesAfterCloseDoNotPanic(t *testing.T) {
	is := is.New(t)
	out := &stallableWriter{}
	w := NewWriter(out)
	_, err := w.Write([]byte("before\n"))
	is.NoErr(err)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 2 * queueSize {
				_, _ = w.Write([]byte("during\n")) // Write returns no error
			}
		})
	}
	w.Close(10 * time.Second)
	writers.Wait()
	n, err := w.Write([]byte("after\n"))
	is.NoErr(err)
	is.Equal(n, len("after\n"))
	is.Equal(out.lines()[0], "before")
}

// Guards against a panic of a handler that leaves no trace in the log.
func TestLog_PanicIsLoggedWithStack(t *testing.T) {
	is := is.New(t)
	out := &stallableWriter{}
	w := NewWriter(out)
	New(w, "edge-1").Request(&ingress.Record{ID: "r1", Outcome: ingress.OutcomeUnknown, Status: 502, Reason: ingress.ReasonPanic,
		Panic: &ingress.Panic{Value: "fault", Stack: []byte("goroutine 7 [running]:\nmain.f()\n")}})
	w.Close(10 * time.Second)
	lines := out.lines()
	is.Equal(len(lines), 2)
	var event struct{ Event, ID, Error, Stack, Level string }
	is.NoErr(json.Unmarshal([]byte(lines[0]), &event))
	is.Equal(event.Event, "handler_panic")
	is.Equal(event.ID, "r1")
	is.Equal(event.Error, "fault")
	is.Equal(event.Stack, "goroutine 7 [running]:\nmain.f()\n")
	is.Equal(event.Level, "error")
}

// Guards against an attempt at a cold server, or an evacuation, that the log does not show.
func TestLog_ColdServersAndEvacuatedZones(t *testing.T) {
	is := is.New(t)
	out := &stallableWriter{}
	w := NewWriter(out)
	log := New(w, "edge-1")
	log.Request(&ingress.Record{ID: "r1", Attempts: []ingress.Attempt{{Server: "i-1", Cold: true}, {Server: "i-2"}}})
	log.ZoneEvacuated("z", 400*time.Millisecond)
	log.ZoneTakenBack("z", 300*time.Millisecond)
	w.Close(10 * time.Second)
	lines := out.lines()
	is.Equal(len(lines), 3)
	is.Equal(strings.Count(lines[0], `"cold":true`), 1)
	for i, want := range []string{`"event":"zone_evacuated","zone":"z","confirmed_ms":400`, `"event":"zone_taken_back","zone":"z","confirmed_ms":300`} {
		is.True(strings.Contains(lines[i+1], want))
	}
}
