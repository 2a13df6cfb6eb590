package httpd

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// readRequest reads a request header. It returns a nil request with the status to reject it with, or with 0 if the
// connection failed.
func (c *conn) readRequest() (r *http.Request, status int) {
	limits := c.server.currentLimits()
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limit.N = int64(limits.MaxHeaderBytes) + readAheadBytes
	r, err := http.ReadRequest(c.reader)
	limitReached := c.limit.N <= 0
	c.limit.N = math.MaxInt64
	_ = c.socket.SetReadDeadline(time.Time{})
	switch {
	case err == nil && !isValid(r):
		return nil, http.StatusBadRequest
	case err == nil:
		return r, 0
	case limitReached:
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err):
		return nil, 0
	}
	return nil, http.StatusBadRequest
}

func isNetError(err error) bool {
	var e net.Error
	return errors.As(err, &e)
}

// isValid reports whether a request may be forwarded: it is HTTP/1.x with a valid Host and header fields, and its
// target is a path unless the method is OPTIONS.
func isValid(r *http.Request) bool {
	if r.ProtoMajor != 1 || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return strings.HasPrefix(r.RequestURI, "/") || r.Method == http.MethodOptions
}
