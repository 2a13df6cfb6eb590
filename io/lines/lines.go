// Package lines writes log lines asynchronously, so that a slow output never blocks the code that logs: lines are
// queued, and dropped and counted while the queue is full.
package lines

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 4096 // further lines are dropped
	reportInterval = 1 * time.Second
)

// Writer is an io.Writer that queues log lines for an output. Each call of Write must pass a whole line.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	now     func() time.Time
}

// New returns a Writer and starts a goroutine that writes queued lines to out. The goroutine never ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), now: time.Now}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never blocks or returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the output yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the queue is empty, at most for the timeout. The output may still be writing the last line when it
// returns.
func (w *Writer) Flush(timeout time.Duration) {
	for deadline := w.now().Add(timeout); len(w.queue) > 0 && w.now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

func (w *Writer) run() {
	lastReport := w.now()
	for line := range w.queue {
		_, _ = w.out.Write(line)
		if now := w.now(); now.Sub(lastReport) >= reportInterval {
			lastReport = now
			w.reportDropped(now)
		}
	}
}

// reportDropped writes a log line with the number of lines dropped since the last report, if there are any.
func (w *Writer) reportDropped(now time.Time) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", now.UTC().Format(time.RFC3339Nano), n)
	}
}
