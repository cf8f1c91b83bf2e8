// Package clientlimit limits what callers may take of a process: the memory of the request
// bodies that are held at once, the memory of request heads, and the number of open
// connections. When a limit is reached, what has waited longest for its caller gives way,
// so that callers which stop half-way can't keep others out.
//
// Bodies and Table decide on numbers and times alone; they start no goroutines, and the
// clock is supplied. Their methods are safe for concurrent use. Those of a Body must not be
// called concurrently with each other.
package clientlimit

// Cause is why a limit has closed a caller's connection.
type Cause string

// Causes.
const (
	CauseConnections Cause = "connections"  // the limit on open connections
	CauseHeadMemory  Cause = "head_memory"  // the limit on the memory of request heads
	CauseHeadLines   Cause = "head_lines"   // the limit on the lines of one request head
	CauseBodyStalled Cause = "body_stalled" // the limit on the memory of request bodies
)

// ClosedError is returned by reads that a limit has ended, and by operations on a body after
// that.
type ClosedError struct {
	Cause Cause
}

// Error implements error.
func (e *ClosedError) Error() string {
	return "clientlimit: connection closed by a limit: " + string(e.Cause)
}
