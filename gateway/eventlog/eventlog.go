// Package eventlog writes structured logs without ever blocking its callers:
// lines wait in a bounded queue, and those that find it full are counted and
// dropped.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	queueLines  = 512
	dropsReport = time.Second
	// maxBatch bounds what is gathered for one write.
	maxBatch = 16 << 10
	// batchDelay gathers lines, so that a write costs less for each.
	batchDelay = 20 * time.Millisecond
)

// Writer passes lines on to a slower writer. It is safe for concurrent use.
type Writer struct {
	dst     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a Writer that writes until Close.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{dst: dst, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case w.queue <- own:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued, for at most the given time.
func (w *Writer) Close(wait time.Duration) {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

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
		// There is no other place to tell of a broken output.
		_, _ = w.dst.Write(batch)
	}
}

// gather adds lines that wait.
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

// lineBuffer collects one line of zerolog.
type lineBuffer struct{ b []byte }

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.b = append(l.b, p...)
	return len(p), nil
}

func appendDrops(batch []byte, n, total uint64) []byte {
	var line lineBuffer
	log := zerolog.New(&line)
	log.Warn().Time("time", time.Now()).Str("event", "log_lines_dropped").
		Uint64("lines", n).Uint64("total", total).Msg("")
	return append(batch, line.b...)
}
