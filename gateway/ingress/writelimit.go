package ingress

import (
	"context"
	"net/http"
	"time"
)

// writeGrace is how long after the deadline of a request the rest of its response
// may be written to a caller that reads slowly.
const writeGrace = time.Second

// limitWrites limits the time of writes to the caller from when the context ends.
// The limit is not set before, since after a suspend of the VM the response still
// has to be written. The returned function ends the watch of the context; net/http
// then removes the limit when the response has been sent.
func limitWrites(ctx context.Context, w http.ResponseWriter) (stop func()) {
	limited := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(limited)
		// An error means that the connection has no deadlines, so that a caller
		// that does not read is waited for.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	})
	return func() {
		if !stopWatch() {
			<-limited // otherwise the limit may apply to the next response on the connection
		}
	}
}
