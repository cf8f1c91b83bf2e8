package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/outcome"
)

// respondOnce accepts one request and responds with the status and no body.
func respondOnce(listener net.Listener, status int) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		fmt.Fprintf(conn, "HTTP/1.1 %03d Status\r\nContent-Length: 0\r\n\r\n", status)
	}
}

func TestClientDoRejectsNonFinalStatus(t *testing.T) {
	for _, tc := range []struct {
		status   int
		accepted bool
	}{
		{0, false}, {99, false}, {http.StatusSwitchingProtocols, false}, {200, true}, {599, true}, {999, true},
	} {
		t.Run(fmt.Sprint(tc.status), func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go respondOnce(listener, tc.status)
			client := NewClient(nil)
			defer client.Close()
			sink := &fakeSink{}
			_, err = client.Do(t.Context(), Call{Address: listener.Addr().String(), Method: http.MethodGet, Path: "/"}, sink)
			is.Equal(err == nil, tc.accepted)
			is.Equal(sink.heads == 1, tc.accepted)
			if err != nil {
				is.Equal(outcome.From(err).Outcome, outcome.Unknown)
			}
		})
	}
}
