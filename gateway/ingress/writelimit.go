package ingress

import (
	"context"
	"net/http"
	"time"

	"cassialatch.dev/gateway/clientlimit"
)

const (
	// writeGrace is how long after the deadline of a request the rest of its response
	// may be written to a caller that reads slowly.
	writeGrace = time.Second
	// ownWriteTimeout is how long a response may be written to a request that was not
	// admitted, or that net/http rejects itself.
	ownWriteTimeout = 5 * time.Second
	// restTimeout is how long net/http may read what is left of the body of a request that
	// has ended, before it closes the connection.
	restTimeout = time.Second
)

// limitWrites limits the time of writes to the caller from when the context ends.
// The limit is not set before, since after a suspend of the VM the response still
// has to be written. The returned function ends the watch of the context; net/http
// then removes the limit when the response has been sent.
func limitWrites(ctx context.Context, w http.ResponseWriter) (stop func()) {
	// Errors here and below mean that the connection has no deadlines, so that a caller
	// that does not read is waited for.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // was set when the head was read
	limited := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(limited)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	})
	return func() {
		if !stopWatch() {
			<-limited // otherwise the limit may apply to the next response on the connection
		}
	}
}

// limitEnd limits how long net/http may take after the handler has returned: to write the
// rest of the response, and to read what is left of the body. It would wait for both
// without limit, and read up to 256 KiB. If the rest of the body arrives in time, the
// connection is used for further requests.
func limitEnd(w http.ResponseWriter, r *http.Request, rec *Record) {
	conn := http.NewResponseController(w)
	now := time.Now()
	writeEnd := now.Add(ownWriteTimeout)
	if !rec.deadline.IsZero() {
		writeEnd = rec.deadline
		if now.After(writeEnd) {
			writeEnd = now
		}
		writeEnd = writeEnd.Add(writeGrace)
	}
	_ = conn.SetWriteDeadline(writeEnd)
	if r.ContentLength == 0 || rec.bodyRead {
		return
	}
	readEnd := now.Add(restTimeout)
	if rec.Status == http.StatusRequestTimeout {
		readEnd = now // the rest was waited for already
	}
	_ = conn.SetReadDeadline(readEnd)
	clientlimit.FromContext(r.Context()).BeginBody()
}
