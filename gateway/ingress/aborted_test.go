package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that end without a complete response and can't be told
// apart in the log: from those that were answered with 502 or 504, and by who
// ended them.
func TestRecordTellsWhyRequestEndedWithoutCompleteResponse(t *testing.T) {
	stalled := func(_ *backend, _ *http.Request, c net.Conn) {
		var b [1]byte
		_, _ = c.Read(b[:]) // ends when the gateway resets the connection
	}
	// oneEvent sends an event and then nothing until the connection ends.
	oneEvent := func(b *backend, req *http.Request, c net.Conn) {
		streamHead(c, req)
		stalled(b, req, c)
	}
	for _, c := range []struct {
		name    string
		path    string
		header  []string
		script  func(*backend, *http.Request, net.Conn)
		close   bool // the caller's connection is closed once a server has the request
		stop    bool // the server is stopped then
		outcome Outcome
		reason  Reason
	}{
		{name: "server broke off, response begun", path: "/once/x", script: streamEvents(3, 6, false), outcome: OutcomeAborted, reason: ReasonConnectionBroken},
		{name: "server broke off, no response", path: "/once/x", script: resetConn, outcome: OutcomeUnknown, reason: ReasonConnectionBroken},
		{name: "deadline, response begun", path: "/once/x", header: []string{"Deadline", "100ms"}, script: oneEvent, outcome: OutcomeAborted, reason: ReasonDeadline},
		{name: "deadline, no response", path: "/once/x", header: []string{"Deadline", "100ms"}, script: stalled, outcome: OutcomeUnknown, reason: ReasonDeadline},
		{name: "caller left", path: "/once/x", script: stalled, close: true, outcome: OutcomeCallerLeft, reason: ReasonCallerLeft},
		{name: "daemon stopped, no response", path: "/once/x", script: stalled, stop: true, outcome: OutcomeUnknown, reason: ReasonStopped},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, c.script)
			f := newFixture(t, b)
			server, l := startServer(t, f.handler.ServeHTTP)
			if c.stop {
				f.URL = "http://" + l.Addr().String()
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _, _ = f.do(t, c.path, c.header...) // only the record is checked
			}()
			for (c.close || c.stop) && b.runs.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if c.close {
				f.CloseClientConnections()
			}
			if c.stop {
				server.Stop(time.Minute)
			}
			<-ended
			f.Close() // waits for the handler
			rec := f.records.all[0]
			is.Equal(rec.Outcome, c.outcome)
			is.Equal(rec.Reason, c.reason)
		})
	}
}

// streamHead sends the head of a stream and one event.
func streamHead(c net.Conn, req *http.Request) {
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: " + req.Header.Get("Id") + "\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n"))
}
