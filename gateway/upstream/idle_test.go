package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
)

// Guards against a restart of a server that goes unnoticed, and against a sound
// connection that is taken for a sign of one or lost by the check.
func TestCheckIdle_ReportsConnectionsClosedByServer(t *testing.T) {
	is := is.New(t)
	served := make(chan net.Conn, 1)
	s, conns := listen(t, func(c net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
			served <- c
		}
	})
	p := NewPool(dialect{})
	is.True(!p.CheckIdle(s.Incarnation())) // no connection
	for _, id := range []string{"1", "2"} {
		_, err := exchange(p, s, request(id, ""))
		is.NoErr(err)
		is.True(!p.CheckIdle(s.Incarnation()))
		if id == "1" {
			<-served
		}
	}
	is.Equal(conns.Load(), int32(1))

	c := <-served
	c.Close()
	time.Sleep(20 * time.Millisecond) // the close arrives
	is.True(p.CheckIdle(s.Incarnation()))
	is.True(!p.CheckIdle(s.Incarnation())) // said once
	is.Equal(p.OpenConns(), 0)
}

// A server closes a connection at the end of its idle timeout without having restarted.
func TestCheckIdle_IgnoresCloseAtIdleTimeout(t *testing.T) {
	is := is.New(t)
	s, _ := listen(t, echo)
	p := NewPool(dialect{})
	_, err := exchange(p, s, request("1", ""))
	is.NoErr(err)
	p.servers[s.ID].idle[0].idleUntil = p.clock()
	is.True(!p.CheckIdle(s.Incarnation()))
	is.Equal(p.OpenConns(), 0)
}

// The VM of the daemon is suspended, and the idle timeouts pass meanwhile. Guards against
// closes at an idle timeout that are taken for restarts of all servers, and against a
// connection that is used although the server has given it up.
func TestCheckIdle_IdleTimeoutPassesDuringSuspend(t *testing.T) {
	is := is.New(t)
	s, _ := listen(t, echo)
	p := NewPool(dialect{})
	var suspended atomic.Int64 // in nanoseconds
	p.clock = func() boottime.Instant { return boottime.Now().Add(time.Duration(suspended.Load())) }
	_, err := exchange(p, s, request("1", ""))
	is.NoErr(err)
	p.servers[s.ID].idle[0].tcp.CloseRead() // as if the server had closed it
	suspended.Store(int64(time.Minute))
	is.True(!p.CheckIdle(s.Incarnation()))
	is.Equal(p.OpenConns(), 0)

	_, err = exchange(p, s, request("2", ""))
	is.NoErr(err)
	suspended.Add(int64(time.Minute))
	p.Expire(func(string) bool { return true })
	is.Equal(p.OpenConns(), 0)
}
