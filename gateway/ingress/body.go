package ingress

import (
	"errors"
	"io"
	"sync/atomic"
)

// uncountedBodyBytes is the size up to which a body is not counted, so that large
// bodies can't cause the rejection of small ones. The total of what is not counted
// is limited by the number of connections.
const uncountedBodyBytes = 4 << 10

// errBodyMemory is returned when the bodies held exceed the limit.
var errBodyMemory = errors.New("ingress: no memory for the request body")

// bodyBudget counts the bytes of the request bodies that are held at once, so that
// their total can be limited. It is safe for concurrent use.
type bodyBudget struct{ used atomic.Int64 }

// bodyMemory is what the body of one request takes of a budget. It is not safe for
// concurrent use.
type bodyMemory struct {
	budget  *bodyBudget
	limit   int64 // of the budget, in bytes; 0: no limit
	size    int64 // of the body, as far as known
	counted int64 // bytes counted by the budget
}

// grow counts n more bytes of the body. It returns errBodyMemory if the total of
// all bodies would exceed the limit.
func (m *bodyMemory) grow(n int64) error {
	m.size += n
	more := m.size - uncountedBodyBytes - m.counted
	if more <= 0 {
		return nil
	}
	if total := m.budget.used.Add(more); m.limit > 0 && total > m.limit {
		m.budget.used.Add(-more)
		return errBodyMemory
	}
	m.counted += more
	return nil
}

// release ends the count of the body.
func (m *bodyMemory) release() {
	m.budget.used.Add(-m.counted)
	m.counted = 0
}

// readKnownLength reads a body of n bytes.
func readKnownLength(src io.Reader, n int64, m *bodyMemory) ([]byte, error) {
	if err := m.grow(n); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	_, err := io.ReadFull(src, body)
	return body, err
}

// countingReader counts the bytes that it reads as part of a body.
type countingReader struct {
	src    io.Reader
	memory *bodyMemory
}

// Read implements io.Reader. It returns errBodyMemory for bytes that exceed the
// memory for bodies.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if memoryErr := r.memory.grow(int64(n)); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}
