// Package stall ends transfers that make no progress, however long those take that do: a large answer over a slow link must
// not be given up and asked for again, since the next one is larger still.
package stall

import (
	"context"
	"io"
	"time"
)

// Guard cancels a transfer that makes no progress.
type Guard struct {
	timeout time.Duration
	timer   *time.Timer
}

// New returns a guard that calls cancel unless the answer begins within startTimeout, and then unless some of it arrives
// within each timeout.
func New(cancel context.CancelFunc, startTimeout, timeout time.Duration) *Guard {
	return &Guard{timeout: timeout, timer: time.AfterFunc(startTimeout, cancel)}
}

// Stop ends the guard.
func (g *Guard) Stop() { g.timer.Stop() }

// Reader returns a reader of the answer, which has begun. Each Read that returns bytes counts as progress.
func (g *Guard) Reader(r io.Reader) io.Reader {
	g.timer.Reset(g.timeout)
	return &reader{Reader: r, guard: g}
}

type reader struct {
	io.Reader
	guard *Guard
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.guard.timer.Reset(r.guard.timeout)
	}
	return n, err
}
