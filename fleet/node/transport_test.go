package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/traffic"
)

// A platform in trouble sends interim responses or headers without end.
func TestPlatformTransportRejectsLargeHead(t *testing.T) {
	const headerBytes = 16 // at least, of each header or interim response below
	for name, fill := range map[string]func(http.ResponseWriter){
		"headers": func(w http.ResponseWriter) { w.Header().Add("X-Header", "0123456789") },
		"1xx":     func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for range maxPlatformHeaderBytes/headerBytes + 1 {
					fill(w)
				}
			}))
			defer server.Close()
			n := &Node{meter: traffic.NewMeter(0, time.Now)}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			is.NoErr(err)
			resp, err := n.platformTransport().RoundTrip(req)
			if err == nil {
				resp.Body.Close()
			}
			is.True(err != nil)
		})
	}
}
