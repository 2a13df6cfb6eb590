package conns

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	maxHeaderBytes  = 64 << 10  // of a response
	maxSmallBody    = 16 << 10  // bytes; bodies up to this size are always buffered
	maxBufferedBody = 256 << 10 // bytes; larger response bodies are streamed
	maxLateBody     = 256 << 10 // bytes of a response to an earlier request that are discarded
	maxStatus       = 599       // the highest status of HTTP
)

// sendChunked writes the header in head and a body of unknown length in chunked encoding.
func (c *conn) sendChunked(head *bytes.Buffer, r Request) error {
	if _, err := c.Conn.Write(head.Bytes()); err != nil {
		return err
	}
	w := httputil.NewChunkedWriter(c.Conn)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.BodyStream != nil {
		if _, err := io.Copy(w, r.BodyStream); err != nil {
			return err
		}
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.Conn, "\r\n")
	return err
}

// receive reads the response to the request. It skips interim responses and late responses to earlier requests.
func (p *Pool) receive(ctx context.Context, c *conn, r Request) (resp *Response, reusable bool, err error) {
	for range maxResponseReads {
		httpResp, err := c.readHeader(r)
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode > maxStatus {
			return nil, false, merry.Errorf("invalid status %d", httpResp.StatusCode)
		}
		if httpResp.StatusCode < http.StatusOK {
			if httpResp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, merry.New("unexpected status 101 Switching Protocols")
			}
			continue
		}
		if id := httpResp.Header.Get(p.IDHeader); id != r.ID {
			if id == "" || httpResp.Close {
				return nil, false, merry.Errorf("response carries request id %q", id)
			}
			if n, err := io.CopyN(io.Discard, httpResp.Body, maxLateBody); err != io.EOF {
				return nil, false, merry.Errorf("late response to another request, not ended after %d bytes: %v", n, err)
			}
			continue
		}
		return p.readBody(ctx, c, r, httpResp)
	}
	return nil, false, merry.New("no response to this request among those received")
}

// readHeader reads a response up to its body. A header of more than maxHeaderBytes ends in an error.
func (c *conn) readHeader(r Request) (*http.Response, error) {
	c.limit.N = maxHeaderBytes
	defer func() { c.limit.N = math.MaxInt64 }()
	return http.ReadResponse(c.reader, &http.Request{Method: r.Method})
}

// readBody reads the response body, or the start of a larger one than may be buffered.
func (p *Pool) readBody(ctx context.Context, c *conn, r Request, httpResp *http.Response) (resp *Response, reusable bool, err error) {
	resp = &Response{Status: httpResp.StatusCode, Header: httpResp.Header, ContentLength: httpResp.ContentLength}
	resp.untilClose = httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0
	c.maxIdle = maxIdleTime
	if serverTimeout, ok := keepAliveTimeout(httpResp.Header); ok {
		c.maxIdle = min(c.maxIdle, serverTimeout)
	}
	reusable = !httpResp.Close
	var complete bool
	if resp.Body, complete, err = p.bufferBody(ctx, r, httpResp); err != nil {
		return nil, false, err
	}
	if !complete {
		resp.BodyStream = httpResp.Body
	}
	return resp, reusable, nil
}

// keepAliveTimeout returns the idle timeout in the server's Keep-Alive header, less a margin of a quarter.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		timeout, err := time.ParseDuration(value + "s")
		if err != nil || timeout < 0 {
			return 0, false
		}
		return timeout * 3 / 4, true
	}
	return 0, false
}

// bodyStream is the remainder of a large response body. It releases the connection at its end.
type bodyStream struct {
	body  io.ReadCloser
	onEnd func(complete bool)
	ended bool
}

// Read implements io.Reader. At the end of the body or on an error it releases the connection.
func (s *bodyStream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (s *bodyStream) Close() error {
	s.end(false)
	return nil
}

func (s *bodyStream) end(complete bool) {
	if s.ended {
		return
	}
	s.ended = true
	s.onEnd(complete)
}
