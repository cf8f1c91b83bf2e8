package metric

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/operatorapi"
)

func newMetrics(t testing.TB, workspaces int) *Metrics {
	m, err := New(Options{MaxWorkspaces: workspaces})
	is.New(t).NoErr(err)
	return m
}

// scrape closes m, which reports all outstanding counts, and returns the text
// that Handler serves.
func scrape(t *testing.T, m *Metrics) string {
	is.New(t).NoErr(m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func wantLine(t *testing.T, page, line string) {
	t.Helper()
	if !strings.Contains(page, line+"\n") {
		t.Errorf("line %q is missing in\n%s", line, page)
	}
}

func TestMetricsServesHistogramsAndOutcomes(t *testing.T) {
	m := newMetrics(t, 2)
	m.RecordOutcome("skole", "short", outcome.Answered, "")
	m.RecordOutcome("skole", "short", outcome.NotRun, outcome.CodeOverloaded)
	m.RecordFirstToken("skole", "short", 30*time.Millisecond)
	m.RecordBetweenTokens("skole", "short", 3*time.Millisecond)
	m.RecordQueueWait("skole", "short", 300*time.Millisecond)
	m.RecordResponseTime("skole", "short", 3*time.Second)
	page := scrape(t, m)
	for _, line := range []string{
		`cassialatch_first_token_seconds_bucket{class="short",workspace="skole",le="0.02"} 0`,
		`cassialatch_first_token_seconds_bucket{class="short",workspace="skole",le="0.05"} 1`,
		`cassialatch_between_tokens_seconds_bucket{class="short",workspace="skole",le="0.005"} 1`,
		`cassialatch_queue_wait_seconds_bucket{class="short",workspace="skole",le="0.5"} 1`,
		`cassialatch_answer_seconds_bucket{class="short",workspace="skole",le="5"} 1`,
		`cassialatch_requests_total{class="short",code="",outcome="answered",workspace="skole"} 1`,
		`cassialatch_requests_total{class="short",code="overloaded",outcome="not-run",workspace="skole"} 1`,
	} {
		wantLine(t, page, line)
	}
}

func TestMetricsServesControlMetrics(t *testing.T) {
	m := newMetrics(t, 0)
	m.SetLeasesHeld(3)
	m.SetLeasesLent(4)
	m.SetHomes(5)
	m.SetQuarantined(6)
	m.RecordRetry()
	m.RecordHedge(HedgeWon)
	m.RecordControlTraffic([]operatorapi.Traffic{{Kind: "peer", SentBytes: 10, ReadBytes: 5, BytesPerSecond: 1.5, Deferred: 2}})
	m.RecordControlTraffic([]operatorapi.Traffic{{Kind: "peer", SentBytes: 30, ReadBytes: 5, BytesPerSecond: 2.5, Deferred: 2}})
	page := scrape(t, m)
	for _, line := range []string{
		`cassialatch_leases_held 3`, `cassialatch_leases_lent 4`,
		`cassialatch_homes 5`, `cassialatch_quarantined 6`,
		`cassialatch_retries_total 1`, `cassialatch_hedges_total{result="won"} 1`,
		`cassialatch_control_bytes_total{kind="peer",way="sent"} 30`,
		`cassialatch_control_bytes_total{kind="peer",way="read"} 5`,
		`cassialatch_control_deferred_total{kind="peer"} 2`,
		`cassialatch_control_bytes_per_second{kind="peer"} 2.5`,
	} {
		wantLine(t, page, line)
	}
}

func TestBusierWorkspaceReplacesLabelledOne(t *testing.T) {
	is := is.New(t)
	m := newMetrics(t, 1)
	m.RecordOutcome("first", "c", outcome.Answered, "")
	m.RecordResponseTime("first", "c", time.Second)
	for range epochRequests {
		m.RecordOutcome("busy", "c", outcome.Answered, "")
	}
	m.RecordResponseTime("busy", "c", time.Second)
	m.RecordResponseTime("first", "c", time.Second)
	page := scrape(t, m)
	is.True(!strings.Contains(page, `workspace="first"`)) // deleted with the label
	wantLine(t, page, `cassialatch_answer_seconds_count{class="c",workspace="busy"} 1`)
	wantLine(t, page, `cassialatch_answer_seconds_count{class="c",workspace="other"} 1`)
}

// A workspace that loses its label has its series closed and deleted. When it regains
// the label, it must get new series, since values recorded in the old ones are not
// exposed.
func TestWorkspaceWithRegainedLabelIsServed(t *testing.T) {
	m := newMetrics(t, 1)
	m.RecordOutcome("first", "c", outcome.Answered, "")
	for range epochRequests {
		m.RecordOutcome("busy", "c", outcome.Answered, "")
	}
	for range 3 * epochRequests {
		m.RecordOutcome("first", "c", outcome.Answered, "")
	}
	m.RecordResponseTime("first", "c", time.Second)
	m.RecordOutcome("first", "c", outcome.Unknown, outcome.CodeDeadlineExceeded)
	page := scrape(t, m)
	wantLine(t, page, `cassialatch_answer_seconds_count{class="c",workspace="first"} 1`)
	wantLine(t, page, `cassialatch_requests_total{class="c",code="deadline_exceeded",outcome="unknown",workspace="first"} 1`)
}

func TestSeriesCountIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMetrics(t, 3)
		defer m.Close()
		for range 200 {
			ws := rapid.String().Draw(rt, "workspace")
			class := rapid.String().Draw(rt, "class")
			m.RecordBetweenTokens(ws, class, time.Millisecond)
			m.RecordOutcome(ws, class, outcome.Answered, "")
		}
		if n := len(m.table.Load().series); n > (3+1)*(maxClasses+1) {
			rt.Fatalf("%d series, want at most one for each label and class", n)
		}
	})
}

func TestTopKDoesNotFlapUnderEqualLoad(t *testing.T) {
	is := is.New(t)
	k := newTopK(4)
	for i := range 20 * epochRequests {
		c := k.record(fmt.Sprint("w", i%12))
		is.Equal(c.demoted, "")
	}
	is.Equal(k.labelCount, 4)
	is.True(len(k.items) <= 4*countersPerLabel)
}

func TestTopKBoundsCountersAndFindsBusiest(t *testing.T) {
	is := is.New(t)
	k := newTopK(2)
	k.record("idle-1")
	k.record("idle-2")
	for i := range 4 * epochRequests {
		k.record("busy")
		k.record(fmt.Sprint("once-", i))
	}
	is.True(k.items["busy"].labelled)
	is.Equal(k.labelCount, 2)
	is.Equal(len(k.items), 2*countersPerLabel)
	is.Equal(len(k.heap), 2*countersPerLabel)
}

func TestNewRejectsNegativeMaxWorkspaces(t *testing.T) {
	_, err := New(Options{MaxWorkspaces: -1})
	var bad *OptionsError
	is.New(t).True(errors.As(err, &bad))
}

func BenchmarkBetweenTokens(b *testing.B) {
	m := newMetrics(b, 32)
	defer m.Close()
	for i := range 64 {
		m.RecordOutcome(fmt.Sprint("workspace-", i), "short", outcome.Answered, "")
	}
	for name, ws := range map[string]string{"labelled": "workspace-7", "other": "workspace-60"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.RecordBetweenTokens(ws, "short", 12*time.Millisecond)
			}
		})
	}
}
