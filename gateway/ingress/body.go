package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cassialatch.dev/gateway/memory"
)

// uncountedBodyBytes is the size up to which a body is not counted, so that large
// bodies can't cause the rejection of small ones. The total of what is not counted
// is limited by the number of connections.
const uncountedBodyBytes = 4 << 10

// uncountedResponseBytes is the same for what is held of a response: its head, and the
// buffer of its body or of the events that have arrived in part.
const uncountedResponseBytes = 16 << 10

// readKnownLength reads a body of n bytes.
func readKnownLength(src io.Reader, n int64, m *memory.Account) ([]byte, error) {
	if err := m.Grow(n); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	_, err := io.ReadFull(src, body)
	return body, err
}

// countingReader counts the bytes that it reads as part of a body.
type countingReader struct {
	src    io.Reader
	memory *memory.Account
}

// Read implements io.Reader. It returns memory.ErrFull for bytes that exceed the
// memory for bodies.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if memoryErr := r.memory.Grow(int64(n)); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

// readBody reads the request body, so that it can be sent more than once. A limit
// of 0 means that the size is not limited.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *rejection {
	if r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(w)
	// An error means that the connection has no deadlines; the request is then
	// not limited in time before its body was read.
	_ = conn.SetReadDeadline(q.rec.Start.Add(q.deadline))
	src := io.Reader(r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	var err error
	if r.ContentLength > 0 && (limit <= 0 || r.ContentLength <= limit) {
		q.body, err = readKnownLength(src, r.ContentLength, &q.rec.body)
	} else {
		q.body, err = io.ReadAll(&countingReader{src: src, memory: &q.rec.body})
	}
	if err != nil {
		return rejectBody(w, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return nil
}

// rejectBody returns the rejection of a request whose body could not be read. The
// rest of the body is not waited for, so the connection can't be reused.
func rejectBody(w http.ResponseWriter, err error) *rejection {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case errors.Is(err, memory.ErrFull):
		return notRun(ReasonBodyMemory, overloadRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, ReasonBodyTimeout)
	}
	return refuse(http.StatusBadRequest, ReasonBodyUnreadable)
}
