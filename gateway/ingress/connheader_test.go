package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/route"
)

// A caller that is not told how long a connection may be reused sends a request on
// one that the daemon closes at the same time. The request ends without a response.
func TestHandlerAnnouncesHowLongConnectionsMayBeReused(t *testing.T) {
	for _, c := range []struct {
		idleTimeout time.Duration
		want        string
	}{
		{15 * time.Second, "timeout=14"},
		{2500 * time.Millisecond, "timeout=1"},
		{1500 * time.Millisecond, ""}, // no whole second is left
		{0, ""},                       // connections are not closed when idle
	} {
		t.Run(c.idleTimeout.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, startBackend(t, respondOK))
			f.setIdleTimeout(c.idleTimeout)
			resp, _, err := f.do(t, "/safe/x")
			is.NoErr(err)
			is.Equal(resp.Header.Get("Keep-Alive"), c.want)
			resp, _, err = f.do(t, "/none/x") // refused by the daemon itself
			is.NoErr(err)
			is.Equal(resp.Header.Get("Keep-Alive"), c.want)
		})
	}
}

// Callers must not take the time for a promise while the daemon is draining.
func TestHandlerAnnouncesNoReuseInDrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, respondOK))
	f.setIdleTimeout(15 * time.Second)
	f.handler.Draining = func() (time.Duration, bool) { return time.Minute, true }
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.True(resp.Close)
	is.Equal(resp.Header.Get("Keep-Alive"), "")
}

// setIdleTimeout adopts a configuration with the idle timeout and the routes of the
// fixture.
func (f *fixture) setIdleTimeout(d time.Duration) {
	state := f.catalog.State()
	state.Revision++
	state.RawRev++
	f.catalog.Adopt(state, route.NewTable(fixtureConfig(2, d)), f.now())
}
