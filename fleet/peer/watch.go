package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// watchInterval is how often a forward checks whether its peer is down.
const watchInterval = 100 * time.Millisecond

// errPeerDown cancels a forward to a peer that is considered down. The check is
// needed in addition to connection errors, since the connections of a paused
// process stay open.
var errPeerDown = errors.New("peer: considered down")

// isPeerDown reports whether ctx was canceled because the peer is down.
func isPeerDown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errPeerDown) }

// watchPeer starts a goroutine that cancels a forward with errPeerDown if the peer
// goes down. The returned function stops it; callers call it when the response
// begins. It may be called more than once.
func (c *Client) watchPeer(ctx context.Context, address string, cancel context.CancelCauseFunc) func() {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if c.peerDown(address) {
				cancel(errPeerDown)
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
