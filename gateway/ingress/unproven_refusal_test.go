package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against telling a caller that its request has not run because of the status
// that a server responded with: only a server that says so has not run it.
func TestHandler_StatusOfServerDoesNotPromiseNotRun(t *testing.T) {
	large := strings.Repeat("e", 2*maxBufferedBytes)
	for _, status := range []string{"408 Timeout", "421 Misdirected", "429 Busy", "503 Broken"} {
		for name, body := range map[string]string{"short": "oops", "large": large} {
			t.Run(status+" "+name, func(t *testing.T) {
				is := is.New(t)
				b := startBackend(t, func(_ *backend, req *http.Request, conn net.Conn) {
					// The gateway may close the connection before it has read a large body.
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\nSignature: x\r\nContent-Length: %d\r\n\r\n%s", status, req.Header.Get("Id"), len(body), body)
				})
				f := newFixture(t, b)
				for _, path := range []string{"/unsafe/x", "/once/x"} {
					resp, body, err := f.do(t, path)
					is.NoErr(err)
					is.Equal(resp.StatusCode, http.StatusBadGateway)
					is.Equal(resp.Header.Get("Signature"), "") // it vouches for another status
					is.Equal(body, "")
				}
				if name == "large" {
					return
				}
				resp, _, err := f.do(t, "/safe/x") // may run again whatever its status
				is.NoErr(err)
				is.Equal(fmt.Sprint(resp.StatusCode), status[:3])
			})
		}
	}
}
