package daemon

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brokenListener fails to accept connections.
type brokenListener struct{ net.Listener }

func (brokenListener) Accept() (net.Conn, error) { return nil, errors.New("no route to host") }

// Guards against a daemon that says it is ready but accepts no connections, after
// its listener has failed once.
func TestServe_ListensAgainAfterFailure(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Name: "edge-1"}, Adapter{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	served := make(chan struct{})
	go func() {
		defer close(served)
		d.serve(brokenListener{l}, server.Serve)
	}()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for {
			resp, err := http.Get("http://" + l.Addr().String())
			if err == nil {
				resp.Body.Close()
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	select {
	case <-answered:
	case <-time.After(20 * time.Second): // only ends a hang
		t.Fatal("the daemon does not listen again")
	}
	is.NoErr(server.Close())
	<-served
}
