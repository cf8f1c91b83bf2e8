package upstream

import (
	"context"
	"net"
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
