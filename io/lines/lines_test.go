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

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

// TestNobodyReads floods an output that takes nothing: writing does not block, and the loss is counted and reported.
func TestNobodyReads(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	w := lines.New(out)
	started := time.Now()
	const flood = 20_000
	for range flood {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(w.Dropped() > flood/2)
	time.Sleep(1100 * time.Millisecond) // a report is due
	close(out.release)
	w.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.buffer.String(), "log lines dropped"))
}

func TestLimit(t *testing.T) {
	is := is.New(t)
	l := lines.NewLimit(2)
	now := time.Unix(100, 0)
	written := 0
	for range 10 {
		if ok, _ := l.Allow(now, "shed"); ok {
			written++
		}
	}
	is.Equal(written, 2)
	ok, _ := l.Allow(now, "broken")
	is.True(ok) // each kind has its own bound
	ok, omitted := l.Allow(now.Add(time.Second), "shed")
	is.True(ok)
	is.Equal(omitted, 8)
}
