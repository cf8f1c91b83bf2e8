package daemon

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

// metric returns the line of a metric without labels.
func (d *Daemon) metric(name string) string {
	w := httptest.NewRecorder()
	d.metrics.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, name+" ") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// Guards against a new state that reaches requests before the table of cold servers, and
// against an evacuation whose begin or end operators can't see.
func TestBeforeStateChange_ObservesColdServersAndZones(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, time.Second, listen(t), "127.0.0.1:1")
	config := &route.Config{Version: 2, Services: []route.Service{{Name: "s", ColdPerSecond: 18, ColdStart: time.Minute}}}
	state := catalog.State{Revision: 2, Servers: []catalog.Server{
		{ID: "b1", Service: "s", Zone: "z"}, {ID: "b2", Service: "s", Zone: "y", ColdRemaining: 4096},
	}, Evacuated: []string{"z"}}
	d.catalog.Adopt(state, route.NewTable(config), boottime.Now())
	is.Equal(d.metric("cassialatch_cold_servers"), "cassialatch_cold_servers 1")
	is.Equal(d.metric("cassialatch_evacuated_zones"), "cassialatch_evacuated_zones 1")

	state.Revision, state.Evacuated = 3, nil
	d.catalog.Adopt(state, nil, boottime.Now())
	is.Equal(d.metric("cassialatch_cold_servers"), "cassialatch_cold_servers 2") // taken back
	is.Equal(d.metric("cassialatch_evacuated_zones"), "cassialatch_evacuated_zones 0")
	_, cold := d.handler.Warmup.Wait(catalog.Incarnation{ID: "b1"})
	is.True(cold)
}

// Each begin and end is reported once, in the order of the names.
func TestLogAdded(t *testing.T) {
	is := is.New(t)
	var logged []string
	log := func(zone string, _ time.Duration) { logged = append(logged, zone) }
	one, three := map[string]bool{"b": true}, map[string]bool{"c": true, "b": true, "a": true}
	logAdded(one, three, 0, log)
	logAdded(three, three, 0, log)
	logAdded(three, one, 0, log)
	logAdded(nil, one, 0, log)
	is.Equal(logged, []string{"a", "c", "b"})
}
