package httpd

import (
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"sync"
	"time"

	"jayshift/core/budget"
)

const writePiece = 16 << 10 // bytes of a buffered body after whose writing the progress of the caller is recorded

// write writes a response, whose buffered body is charged to unread. closeAfter announces that the connection is closed after it.
func (c *conn) write(r *Response, unread *budget.Hold, proto string, closeAfter bool) error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := c.writer
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	chunked := r.BodyStream != nil && r.ContentLength < 0 && proto == "HTTP/1.1"
	switch {
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.ContentLength >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	}
	if closeAfter {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if r.BodyStream == nil {
		if err := writeBody(w, r, unread); err != nil {
			return err
		}
		return c.flush()
	}
	return c.stream(r, unread, chunked)
}

// stream writes a response body that is read from BodyStream after Body.
func (c *conn) stream(r *Response, unread *budget.Hold, chunked bool) error {
	if !chunked {
		if err := writeBody(c.writer, r, unread); err != nil {
			return err
		}
		if _, err := io.Copy(c.writer, r.BodyStream); err != nil {
			return err
		}
		return c.flush()
	}
	w := httputil.NewChunkedWriter(c.writer)
	if err := writeBody(w, r, unread); err != nil {
		return err
	}
	if _, err := io.Copy(w, r.BodyStream); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, _ = c.writer.WriteString("\r\n")
	return c.flush()
}

// flush gives the end of a response to the socket.
func (c *conn) flush() error {
	c.flushed.Store(time.Now().UnixNano())
	return c.writer.Flush()
}

// writeBody writes the buffered body in pieces, each of which is progress of the caller. The body stays in memory, and charged,
// until all of it is written.
func writeBody(w io.Writer, r *Response, unread *budget.Hold) error {
	for piece := range slices.Chunk(r.Body, writePiece) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		unread.Progress(time.Now(), budget.Bytes(len(piece)))
	}
	r.Body = nil
	unread.Shrink(0)
	return nil
}

// requestBody is a request body that signals its end.
type requestBody struct {
	io.ReadCloser
	beforeRead func() // called before the first read, may be nil
	ended      chan struct{}

	mu   sync.Mutex
	done bool
	err  error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.beforeRead != nil {
		b.beforeRead()
		b.beforeRead = nil
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err)
	}
	return n, err
}

func (b *requestBody) finish(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.done, b.err = true, err
	close(b.ended)
}

// failed reports whether reading the body has ended before the end of the body.
func (b *requestBody) failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil && b.err != io.EOF
}

// drain discards up to maxDiscard unread bytes of the body and reports whether the body was read to its end.
func (b *requestBody) drain() bool {
	b.mu.Lock()
	err := b.err
	b.mu.Unlock()
	if err != nil {
		return err == io.EOF
	}
	if b.beforeRead != nil {
		return false // 100 Continue was not sent, so the caller may not have sent the body
	}
	_, err = io.CopyN(io.Discard, b.ReadCloser, maxDiscard)
	return err == io.EOF
}
