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

// answerOnce takes one request and answers it with a status line.
func answerOnce(listener net.Listener, status int) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		fmt.Fprintf(conn, "HTTP/1.1 %03d Status\r\nContent-Length: 0\r\n\r\n", status)
	}
}

func TestAnswerWithoutFinalStatusIsNotPassedOn(t *testing.T) {
	for _, tc := range []struct {
		status int
		passed bool
	}{
		{0, false}, {99, false}, {http.StatusSwitchingProtocols, false}, {200, true}, {599, true}, {999, true},
	} {
		t.Run(fmt.Sprint(tc.status), func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go answerOnce(listener, tc.status)
			client := NewClient(nil)
			defer client.Close()
			sink := &sinkFake{}
			_, err = client.Do(t.Context(), Call{Address: listener.Addr().String(), Method: http.MethodGet, Path: "/"}, sink)
			is.Equal(err == nil, tc.passed)
			is.Equal(sink.heads == 1, tc.passed)
			if err != nil {
				is.Equal(outcome.From(err).Outcome, outcome.Unknown)
			}
		})
	}
}
