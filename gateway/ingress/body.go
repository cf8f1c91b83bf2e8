package ingress

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/memory"
)

// uncountedBodyBytes is the size up to which a body is not counted, so that large
// bodies can't cause the rejection of small ones. The total of what is not counted
// is limited by the number of connections. It is also the first size of the buffer.
const uncountedBodyBytes = 4 << 10

// uncountedResponseBytes is the same for what is held of a response: its head, and the
// buffer of its body or of the events that have arrived in part.
const uncountedResponseBytes = 16 << 10

// maxChunkRead limits one read of a chunked body: net/http returns from it only when it has
// read that much, or the whole chunk, so progress would be noticed late.
const maxChunkRead = 1 << 10

// readBody reads the request body, so that it can be sent more than once. A limit
// of 0 means that the size is not limited.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *rejection {
	if r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return rejectBody(w, &http.MaxBytesError{Limit: limit})
	}
	conn := http.NewResponseController(w)
	// An error means that the connection has no deadlines; the request is then
	// not limited in time before its body was read.
	_ = conn.SetReadDeadline(q.rec.Start.Add(q.deadline))
	client := clientlimit.FromContext(r.Context())
	client.BeginBody()
	q.rec.body = q.h.Bodies.Open(uncountedBodyBytes, conn)
	src := io.Reader(r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	var err error
	q.body, err = bufferBody(src, r.ContentLength, limit, &q.rec.body)
	if err == nil {
		err = errors.Join(q.rec.body.Complete(), client.EndBody())
	}
	if err != nil {
		if q.rec.body.Evicted() {
			err = &clientlimit.ClosedError{Cause: clientlimit.CauseBodyStalled}
		}
		return rejectBody(w, err)
	}
	q.rec.bodyRead = true
	_ = conn.SetReadDeadline(time.Time{})
	r.Trailer = nil // may be many lines, which would be held as long as the request
	return nil
}

// bufferBody reads a body of n bytes, or of unknown length if n is negative. The buffer
// grows as the body arrives, so that a caller which announces a large body takes no more
// memory than it sends. The limit is that of the size, 0 if there is none.
func bufferBody(src io.Reader, n, limit int64, held *clientlimit.Body) ([]byte, error) {
	largest := n
	if n < 0 {
		largest = math.MaxInt64
		if limit > 0 {
			largest = limit + 1 // a read at the limit returns the end of the body
		}
	}
	size := min(uncountedBodyBytes, largest)
	if err := held.Resize(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for int64(len(body)) != n {
		if len(body) == cap(body) {
			size = min(2*size, largest)
			if err := held.Resize(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		room := body[len(body):size]
		if n < 0 {
			room = room[:min(len(room), maxChunkRead)]
		}
		read, err := src.Read(room)
		body = body[:len(body)+read]
		if read > 0 {
			held.Progress()
		}
		switch {
		case errors.Is(err, io.EOF) && n < 0:
			return body, nil
		case err != nil && int64(len(body)) != n:
			return nil, err
		}
	}
	return body, nil
}

// rejectBody returns the rejection of a request whose body could not be read. The
// rest of the body is not waited for, so the connection can't be reused.
func rejectBody(w http.ResponseWriter, err error) *rejection {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var closed *clientlimit.ClosedError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case errors.As(err, &closed):
		return refuse(http.StatusRequestTimeout, ReasonBodyStalled)
	case errors.Is(err, memory.ErrFull):
		return notRun(ReasonBodyMemory, overloadRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, ReasonBodyTimeout)
	}
	return refuse(http.StatusBadRequest, ReasonBodyUnreadable)
}
