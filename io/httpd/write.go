package httpd

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"
)

// write sends a reply; last announces that the connection ends with it.
func (c *conn) write(r *Reply, proto string, last bool) error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := c.writer
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	chunked := r.Rest != nil && r.Length < 0 && proto == "HTTP/1.1"
	switch {
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if r.Rest == nil {
		_, _ = w.Write(r.Body)
		return w.Flush()
	}
	defer func() { _ = r.Rest.Close() }()
	return c.stream(r, chunked)
}

// stream sends a body that is not whole yet.
func (c *conn) stream(r *Reply, chunked bool) error {
	if !chunked {
		_, _ = c.writer.Write(r.Body)
		if _, err := io.Copy(c.writer, r.Rest); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	w := httputil.NewChunkedWriter(c.writer)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if _, err := io.Copy(w, r.Rest); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, _ = c.writer.WriteString("\r\n")
	return c.writer.Flush()
}

// body is the body of a request. It tells when it has ended.
type body struct {
	io.ReadCloser
	before func() // called before the first read, nil for none
	ended  chan struct{}

	mu   sync.Mutex
	done bool
	err  error
}

// Read reads on.
func (b *body) Read(p []byte) (int, error) {
	if b.before != nil {
		b.before()
		b.before = nil
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

func (b *body) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.done, b.err = true, err
	close(b.ended)
}

// whole tells whether the body was read to its end, skipping a rest that nobody wanted unless it is long.
func (b *body) whole() bool {
	b.mu.Lock()
	err := b.err
	b.mu.Unlock()
	if err != nil {
		return err == io.EOF
	}
	if b.before != nil {
		return false // the caller was never told to send it
	}
	_, err = io.CopyN(io.Discard, b.ReadCloser, mostSkipped)
	return err == io.EOF
}
