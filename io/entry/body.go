package entry

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"jayshift/core/budget"
)

const (
	replayBufferSize = 64 << 10 // bytes; a body up to this size can always be sent again
	firstBuffer      = 8 << 10  // bytes of the first buffer of a body of unknown length
	bufferGrowth     = 4        // by which such a buffer is enlarged
)

// body is a caller's request body. Its first replayBufferSize bytes are buffered, and it can be sent again until
// a part of the body after the buffer was read.
type body struct {
	source   io.Reader
	buffer   []byte
	tailRead bool
	onEnd    func()      // called when the body was read to its end
	awaited  atomic.Bool // the caller's next bytes are waited for, or reading them has failed
}

func newBody(source io.Reader, onEnd func()) *body { return &body{source: source, onEnd: onEnd} }

// peek reads up to replayBufferSize bytes of a body of the given length, -1 if unknown, into the buffer and returns them. Memory
// is charged to the hold before it is allocated.
func (b *body) peek(held *budget.Hold, length int64) ([]byte, error) {
	for len(b.buffer) < replayBufferSize {
		if len(b.buffer) == cap(b.buffer) {
			if err := b.enlarge(held, length); err != nil {
				return nil, err
			}
		}
		n, err := b.source.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		held.Progress(time.Now(), budget.Bytes(n))
		if err == io.EOF {
			b.onEnd()
			b.source = bytes.NewReader(nil)
			break
		}
		if err != nil {
			return b.buffer, err
		}
	}
	return b.buffer, nil
}

// enlarge enlarges the buffer: at once to a known length and a byte to see the end, else by bufferGrowth.
func (b *body) enlarge(held *budget.Hold, length int64) error {
	size := max(firstBuffer, bufferGrowth*cap(b.buffer))
	if length >= 0 {
		size = int(min(length, replayBufferSize)) + 1
	}
	size = min(max(size, len(b.buffer)+1), replayBufferSize)
	if err := held.Grow(time.Now(), budget.Bytes(size-cap(b.buffer))); err != nil {
		return err
	}
	buffer := make([]byte, len(b.buffer), size)
	copy(buffer, b.buffer)
	b.buffer = buffer
	return nil
}

// stopped reports whether an attempt that has just failed had to wait for the caller's body, or could not read it.
func (b *body) stopped() bool { return b.awaited.Load() }

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool { return !b.tailRead }

// reader returns a reader of the body from its start.
func (b *body) reader() io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffer), &tailReader{b}))
}

// tailReader reads the part of the body after the buffer. Once it has read bytes, the body cannot be sent again.
type tailReader struct{ body *body }

func (t *tailReader) Read(p []byte) (int, error) {
	t.body.awaited.Store(true)
	n, err := t.body.source.Read(p)
	t.body.awaited.Store(err != nil && err != io.EOF)
	if err == io.EOF {
		t.body.onEnd()
	}
	if n > 0 {
		t.body.tailRead = true
	}
	return n, err
}
