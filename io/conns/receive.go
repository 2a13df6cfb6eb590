package conns

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
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
func (p *Pool) receive(c *conn, r Request) (resp *Response, reusable bool, err error) {
	for range maxResponseReads {
		httpResp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, err
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
			if _, err := io.Copy(io.Discard, httpResp.Body); err != nil {
				return nil, false, err
			}
			continue
		}
		return c.readBody(httpResp)
	}
	return nil, false, merry.New("no response to this request among those received")
}

// readBody reads the response body, or the first maxBufferedBody+1 bytes of a larger one.
func (c *conn) readBody(httpResp *http.Response) (resp *Response, reusable bool, err error) {
	resp = &Response{Status: httpResp.StatusCode, Header: httpResp.Header, ContentLength: httpResp.ContentLength}
	c.maxIdle = maxIdleTime
	if serverTimeout, ok := keepAliveTimeout(httpResp.Header); ok {
		c.maxIdle = min(c.maxIdle, serverTimeout)
	}
	reusable = !httpResp.Close
	resp.Body, err = io.ReadAll(io.LimitReader(httpResp.Body, maxBufferedBody+1))
	if err != nil {
		return nil, false, err
	}
	if len(resp.Body) > maxBufferedBody {
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
