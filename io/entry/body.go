package entry

import (
	"bytes"
	"io"
)

const replayBufferSize = 64 << 10 // bytes; a body up to this size can always be sent again

// body is a caller's request body. Its first replayBufferSize bytes are buffered, and it can be sent again until
// a part of the body after the buffer was read.
type body struct {
	source   io.Reader
	buffer   bytes.Buffer
	tailRead bool
}

func newBody(source io.Reader) *body { return &body{source: source} }

// peek reads up to replayBufferSize bytes into the buffer and returns them.
func (b *body) peek() ([]byte, error) {
	_, err := io.CopyN(&b.buffer, b.source, replayBufferSize)
	if err == io.EOF {
		b.source = bytes.NewReader(nil)
		return b.buffer.Bytes(), nil
	}
	return b.buffer.Bytes(), err
}

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool { return !b.tailRead }

// reader returns a reader of the body from its start.
func (b *body) reader() io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffer.Bytes()), &tailReader{b}))
}

// tailReader reads the part of the body after the buffer. Once it has read bytes, the body cannot be sent again.
type tailReader struct{ body *body }

func (t *tailReader) Read(p []byte) (int, error) {
	n, err := t.body.source.Read(p)
	if n > 0 {
		t.body.tailRead = true
	}
	return n, err
}
