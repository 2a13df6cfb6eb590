package lines_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/lines"
)

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(b)
}

// TestNobodyReads writes many lines while the output blocks. Writing must not block, and the dropped lines must be
// counted and reported in the output.
func TestNobodyReads(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := lines.New(out)
	started := time.Now()
	const lineCount = 20_000
	for range lineCount {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(w.Dropped() > lineCount/2)
	time.Sleep(1100 * time.Millisecond) // longer than the report interval, so that a report is due
	close(out.release)
	w.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.buffer.String(), "log lines dropped"))
}

func TestLimit(t *testing.T) {
	is := is.New(t)
	l := lines.NewLimiter(2)
	now := time.Unix(100, 0)
	written := 0
	for range 10 {
		if ok, _ := l.Allow(now, "shed"); ok {
			written++
		}
	}
	is.Equal(written, 2)
	ok, _ := l.Allow(now, "broken")
	is.True(ok) // each kind is limited separately
	ok, omitted := l.Allow(now.Add(time.Second), "shed")
	is.True(ok)
	is.Equal(omitted, 8)
}
