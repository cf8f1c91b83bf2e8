// Package eventlog writes the daemon's structured log: one JSON line for each
// request and for each change of the daemon's state.
//
// Writing never blocks. Lines go through a bounded queue; when it is full, lines
// are dropped and counted, and an event "log_lines_dropped" reports the count.
// Log and Writer are safe for concurrent use, except that Writer.Close must be
// called once, after the last Write.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	queueSize           = 512 // lines
	dropsReportInterval = time.Second
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
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a Writer to dst and starts its goroutine, which runs until
// Close.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{dst: dst, queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops it if the queue is full. It never
// blocks and never returns an error.
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
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes batches until the queue is closed and empty.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	var reported uint64
	for line := range w.queue {
		batch = append(batch[:0], line...)
		if len(w.queue) == 0 {
			time.Sleep(batchDelay)
		}
		batch = w.gather(batch)
		if n := w.dropped.Load(); n > reported {
			batch = appendDrops(batch, n-reported, n)
			reported = n
		}
		// A write error can't be reported: this output is the only log.
		_, _ = w.dst.Write(batch)
	}
}

// gather appends queued lines to the batch until the queue is empty or the batch
// has reached maxBatch.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line, ok := <-w.queue:
			if !ok {
				return batch
			}
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
