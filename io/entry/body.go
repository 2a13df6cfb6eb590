package entry

import (
	"bytes"
	"io"
)

const replayBytes = 64 << 10 // bodies up to this size can be sent again

// body is a caller's request body that can be sent again as long as little of it was read.
type body struct {
	source   io.Reader
	kept     bytes.Buffer
	overflow bool
	read     int64
}

func newBody(source io.Reader) *body { return &body{source: source} }

// peek reads up to the replay size ahead and returns it.
func (b *body) peek() ([]byte, error) {
	_, err := io.CopyN(&b.kept, b.source, replayBytes)
	if err == io.EOF {
		b.source = bytes.NewReader(nil)
		return b.kept.Bytes(), nil
	}
	return b.kept.Bytes(), err
}

// replayable tells whether the whole body can be sent again.
func (b *body) replayable() bool { return !b.overflow }

// reader returns the body from its start.
func (b *body) reader() io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.kept.Bytes()), &tail{b}))
}

// tail reads what was not kept; from then on the body cannot be sent again.
type tail struct{ b *body }

func (t *tail) Read(p []byte) (int, error) {
	n, err := t.b.source.Read(p)
	if n > 0 {
		t.b.overflow = true
	}
	t.b.read += int64(n)
	return n, err
}
