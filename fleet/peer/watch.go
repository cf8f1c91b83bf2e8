package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// watchInterval is the time between two looks at whether a peer is lost.
const watchInterval = 100 * time.Millisecond

// errLost ends a forward to a peer that is taken as dead. A paused process
// keeps its connections open, so that they alone do not tell.
var errLost = errors.New("peer: taken as dead")

// isLost reports whether ctx ended because the peer is lost.
func isLost(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLost) }

// watch cancels a forward whose peer is lost before its answer begins. The
// function that it returns ends the watch.
func (c *Client) watch(ctx context.Context, address string, cancel context.CancelCauseFunc) func() {
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
			if c.lost(address) {
				cancel(errLost)
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
