package daemon

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/ingress"
)

// Guards against requests that are delayed or refused for lack of capacity without being
// counted, and against delays and refusals where the setting is off.
func TestOverloadIsCounted(t *testing.T) {
	is := is.New(t)
	is.True(New(Settings{}, Adapter{}).handler.Admission == nil)
	d := New(Settings{Overload: true}, Adapter{})
	is.True(d.handler.Admission != nil)
	d.Record(&ingress.Record{Service: "s", Outcome: ingress.OutcomeNotRun, Reason: ingress.ReasonNoRoom})
	d.Record(&ingress.Record{Service: "s", Outcome: ingress.OutcomeNotRun, Reason: ingress.ReasonNoRoom, Waited: time.Second})
	d.Record(&ingress.Record{Service: "s", Outcome: ingress.OutcomeAnswered, Waited: time.Second})
	d.Record(&ingress.Record{Service: "s", Outcome: ingress.OutcomeAnswered})
	w := httptest.NewRecorder()
	d.metrics.ServeHTTP(w, nil)
	for _, line := range []string{"cassialatch_admission_refused_total 2\n", "cassialatch_admission_delayed_total 2\n", "cassialatch_admission_waiting 0\n"} {
		is.True(strings.Contains(w.Body.String(), line))
	}
}
