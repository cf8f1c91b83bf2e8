package ingress

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
)

// Guards against requests to a server that has said in a response that it is leaving,
// while the store still lists it as ready: whatever the response, and even if no other
// server is left.
func TestHandler_SendsNothingToServerThatIsLeaving(t *testing.T) {
	for name, response := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal": "HTTP/1.1 503 No\r\nId: %s\r\nNot-Executed: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"failure": "HTTP/1.1 500 No\r\nId: %s\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
				fmt.Fprintf(c, response, req.Header.Get("Id"))
			})
			f := newFixture(t, b)
			_, _, err := f.do(t, "/unsafe/x")
			is.NoErr(err)
			is.Equal(b.runs.Load(), int32(1))
			time.Sleep(100 * time.Millisecond) // beyond the backoff of a server that refuses
			for range 3 {
				resp, _, err := f.do(t, "/safe/x")
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			}
			is.Equal(b.runs.Load(), int32(1))

			state := f.catalog.State()
			state.Revision++
			state.Servers = []catalog.Server{{ID: "b0", Born: 2, Service: "s", Address: b.address}}
			f.catalog.Adopt(state, nil, f.now())
			_, _, err = f.do(t, "/unsafe/x")
			is.NoErr(err)
			is.Equal(b.runs.Load(), int32(2)) // it has started again
		})
	}
}

// Guards against requests to a server that has refused one and said for how long it
// wants none: others get them, and if there are none, the caller is told at once when
// to come back.
func TestHandler_SendsNothingToServerThatWantsPause(t *testing.T) {
	is := is.New(t)
	pausing := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Executed: 1\r\nPause: 30s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	})
	f := newFixture(t, pausing)
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	time.Sleep(100 * time.Millisecond) // beyond the backoff of a server that refuses
	for range 3 {
		resp, _, err := f.do(t, "/unsafe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 1 && seconds <= 30)
	}
	is.Equal(pausing.runs.Load(), int32(1))
	is.Equal(f.records.wait(4)[3].Reason, ReasonServersPaused)

	other := startBackend(t, respondOK)
	state := f.catalog.State()
	state.Revision++
	state.Servers = append(slices.Clone(state.Servers), catalog.Server{ID: "b1", Service: "s", Address: other.address})
	f.catalog.Adopt(state, nil, f.now())
	for range 3 {
		resp, _, err := f.do(t, "/unsafe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(pausing.runs.Load(), int32(1))
}
