package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
)

// Guards against taking this daemon's own connection limit, or the end of the request,
// for a server that is down.
func TestProbe_TellsServerThatIsDownFromOneThatCouldNotBeAsked(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := &catalog.Server{ID: "s", Address: l.Addr().String()}
	p := NewPool(nil)
	ctx := t.Context()
	is.Equal(p.Probe(ctx, s, 1), ListeningYes)
	is.Equal(p.Probe(ctx, s, 1), ListeningUnknown) // the limit is one connection
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	is.Equal(p.Probe(canceled, s, 0), ListeningUnknown)
	is.NoErr(l.Close())
	is.Equal(p.Probe(ctx, s, 0), ListeningNo)
}

// Guards against taking a connection whose path is cut, so that it times out, for one that
// the server's side has ended.
func TestEndedByPeer_ConnectionThatTimedOutWasNot(t *testing.T) {
	is := is.New(t)
	read := func(err error) error {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	for _, err := range []error{io.EOF, read(syscall.ECONNRESET), read(syscall.EPIPE), fmt.Errorf("head: %w", io.EOF)} {
		is.True(endedByPeer(err))
	}
	for _, err := range []error{read(syscall.ETIMEDOUT), read(syscall.EHOSTUNREACH), os.ErrDeadlineExceeded, net.ErrClosed} {
		is.True(!endedByPeer(err))
	}
}
