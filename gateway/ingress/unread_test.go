package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: callers stop reading within a stream and keep the connection open,
// or are partitioned. Guards against requests that stay in flight after their
// deadline, with their connections and through the whole drain.
func TestHandlerEndsStreamOfCallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	event := "id: 1\ndata: " + strings.Repeat("x", 16<<10) + "\n\n"
	b := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
	})
	f := newFixture(t, b)
	c := f.dialRaw(t)
	is.NoErr(c.conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	c.sendTo("/once/x", "Content-Length: 0", "")
	ended := make(chan Outcome, 1)
	go func() { ended <- f.records.wait(1)[0].Outcome }()
	select {
	case outcome := <-ended:
		is.Equal(outcome, OutcomeAborted) // by the gateway, at the deadline
	case <-time.After(20 * time.Second): // only ends a hang
		t.Error("the request has not ended")
		c.conn.Close()
	}
}
