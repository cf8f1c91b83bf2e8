// Package eventlog writes the daemon's structured log: one JSON line for each
// request and for each change of the daemon's state.
//
// Writing never blocks. Lines go through a bounded queue; when it is full, lines
// are dropped and counted, and an event "log_lines_dropped" reports the count.
// Log and Writer are safe for concurrent use, except that Writer.Close must be
// called once.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	queueSize = 512 // lines
	// maxBatch is the size in bytes from which no more lines are added to a batch.
	maxBatch = 16 << 10
	// batchDelay is how long a line waits for others, so that one write to the
	// output covers several lines.
	batchDelay = 20 * time.Millisecond
)

// Writer queues lines and writes them in batches to a destination that may
// block.
type Writer struct {
	dst     io.Writer
	queue   chan []byte // never closed, since goroutines may log until the process exits
	dropped atomic.Uint64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when run has ended

	// Used by run only.
	batch    []byte
	reported uint64 // dropped lines that were reported
}

// NewWriter returns a Writer to dst and starts its goroutine, which runs until
// Close.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{dst: dst, queue: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops it if the queue is full. It never
// blocks and never returns an error. Lines queued after Close may not be written.
func (w *Writer) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case w.queue <- own:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since NewWriter.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and returns when they are written, or after the
// timeout.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes batches until Close is called, and then the lines that are queued.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the lines that are queued.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes the line, those queued behind it, and a report of the lines
// dropped since the last report.
func (w *Writer) writeBatch(line []byte) {
	w.batch = append(w.batch[:0], line...)
	if len(w.queue) == 0 {
		time.Sleep(batchDelay)
	}
	w.batch = w.gather(w.batch)
	if n := w.dropped.Load(); n > w.reported {
		w.batch = appendDrops(w.batch, n-w.reported, n)
		w.reported = n
	}
	// A write error can't be reported: this output is the only log.
	_, _ = w.dst.Write(w.batch)
}

// gather appends queued lines to the batch until the queue is empty or the batch
// has reached maxBatch.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// lineBuffer is the output of a zerolog.Logger that formats a single line.
type lineBuffer struct{ b []byte }

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.b = append(l.b, p...)
	return len(p), nil
}

// appendDrops appends an event that reports n lines dropped since the last such
// event and total lines since the start.
func appendDrops(batch []byte, n, total uint64) []byte {
	var line lineBuffer
	log := zerolog.New(&line)
	log.Warn().Time("time", time.Now()).Str("event", "log_lines_dropped").
		Uint64("lines", n).Uint64("total", total).Msg("")
	return append(batch, line.b...)
}
