// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For blocks for d or until ctx is done, whichever comes first. Callers that
// need to know which it was check ctx.Err.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
