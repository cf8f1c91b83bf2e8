package daemonclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A daemon in trouble, or something else at its address, sends interim responses or
// headers without end.
func TestClientRejectsLargeHead(t *testing.T) {
	const headerBytes = 16 // at least, of each header or interim response below
	for name, fill := range map[string]func(http.ResponseWriter){
		"headers": func(w http.ResponseWriter) { w.Header().Add("X-Header", "0123456789") },
		"1xx":     func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for range maxHeaderBytes/headerBytes + 1 {
					fill(w)
				}
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			client, err := New(Options{Address: server.Listener.Addr().String(), TLSOff: true})
			is.NoErr(err)
			_, err = client.Status(t.Context())
			var unreachable *UnreachableError
			is.True(errors.As(err, &unreachable))
		})
	}
}
