package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/standin/rawserver"
)

// unreadBody is a request body that is still being sent to a server when that responds.
var unreadBody = make([]byte, rawserver.UnreadBytes)

// startEarlyServer starts a backend that responds with the bytes while a body is being sent,
// and then passes the connection to end.
func startEarlyServer(t *testing.T, response string, end func(c *net.TCPConn)) *backend {
	return &backend{address: rawserver.Start(t, strings.ReplaceAll(response, "ID", "r1"), end)}
}

// upload sends unreadBody and returns the status and body of the response, and the error from
// sending the request or reading the body.
func (f *fixture) upload(t *testing.T, path string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, f.URL+path, bytes.NewReader(unreadBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read), err
}

// newUploadFixture starts a handler that accepts unreadBody.
func newUploadFixture(t *testing.T, b *backend) *fixture {
	f := newFixture(t, b)
	config := fixtureConfig(2, 0)
	config.Limits.BodyBytes = int64(len(unreadBody))
	state := f.catalog.State()
	state.Revision++
	f.catalog.Adopt(state, route.NewTable(config), f.now())
	return f
}

// lateDialect delays the reading of a body until the server has reset the connection, and for
// resetDelay more, so that the write of the request is told of the reset before the read.
type lateDialect struct {
	dialect
	reset chan struct{}
}

// resetDelay is more than a reset takes to reach a write on a loopback connection.
const resetDelay = 20 * time.Millisecond

func (d lateDialect) ParseResponse(resp *http.Response) call.ResponseHead {
	<-d.reset
	time.Sleep(resetDelay)
	return d.dialect.ParseResponse(resp)
}

// Load pattern: long requests to a server that responds at once and breaks off while they are
// being sent. Guards against a part of a response without a length that callers take for the
// whole: the kernel reports a reset once only, also to a write.
func TestHandler_ResetDuringUploadEndsNoResponse(t *testing.T) {
	const uploads = 3
	for _, c := range []struct{ name, path, body string }{
		{"buffered", "/unsafe/x", "part"},
		{"empty", "/unsafe/x", ""},
		{"forwarded as it arrives", "/unsafe/x", strings.Repeat("p", 2*maxBufferedBytes)},
		{"stream", "/once/x", "id: 1\ndata: 1\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reset := make(chan struct{}, uploads)
			f := newUploadFixture(t, startEarlyServer(t, soundHead+"\r\n"+c.body, func(c *net.TCPConn) {
				rawserver.Reset(c)
				reset <- struct{}{}
			}))
			f.handler.Pool = upstream.NewPool(lateDialect{reset: reset})
			for range uploads {
				status, _, err := f.upload(t, c.path)
				is.True(err != nil || status == http.StatusBadGateway) // does not look complete
			}
			f.records.wait(uploads)
			is.Equal(len(f.records.with(ReasonConnectionBroken)), uploads) // logged and counted
		})
	}
}

// A server may send its whole response, also one without a length, while a long request is
// still being sent. It gets through, whatever the server does next.
func TestHandler_ForwardsCompleteEarlyResponse(t *testing.T) {
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	for name, end := range map[string]func(c *net.TCPConn){
		"reads on": rawserver.ReadOn,
		"stops":    func(*net.TCPConn) { <-stopped },
		"resets":   rawserver.Reset,
	} {
		for _, path := range []string{"/unsafe/x", "/once/x"} {
			for framing, response := range map[string]string{
				"no length": soundHead + "\r\n%s",
				"length":    soundHead + "Content-Length: 15\r\n\r\n%s",
				"chunks":    soundHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n%s\r\n0\r\n\r\n",
			} {
				t.Run(fmt.Sprint(name, path, " ", framing), func(t *testing.T) {
					is := is.New(t)
					const event = "id: 1\ndata: 1\n\n"
					f := newUploadFixture(t, startEarlyServer(t, fmt.Sprintf(response, event), func(c *net.TCPConn) {
						_ = c.CloseWrite()
						end(c)
					}))
					for range 3 {
						status, body, err := f.upload(t, path)
						is.NoErr(err)
						is.Equal(status, http.StatusOK)
						is.Equal(body, event)
					}
				})
			}
		}
	}
}
