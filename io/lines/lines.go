// Package lines writes log lines without ever holding up who logs: a buffer takes them, and when nobody reads the output
// fast enough, lines are dropped and counted.
package lines

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	kept        = 4096 // lines that wait for the output
	reportPause = 1 * time.Second
)

// Writer takes whole lines. Its Write never blocks.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	now     func() time.Time
}

// New returns a writer to the output, and starts passing lines on.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, kept), now: time.Now}
	go w.run()
	return w
}

// Write takes one line; it is dropped when too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines taken so far are out, for at most the time given.
func (w *Writer) Flush(most time.Duration) {
	for end := w.now().Add(most); len(w.queue) > 0 && w.now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

func (w *Writer) run() {
	reported := w.now()
	for line := range w.queue {
		_, _ = w.out.Write(line)
		if now := w.now(); now.Sub(reported) >= reportPause {
			reported = now
			w.report(now)
		}
	}
}

// report says how many lines are missing.
func (w *Writer) report(now time.Time) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", now.UTC().Format(time.RFC3339Nano), n)
	}
}
