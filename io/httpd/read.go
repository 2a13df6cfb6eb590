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

	"jayshift/core/budget"
)

// readRequest reads a request header, and returns what it holds of the budget. It returns a nil request with the status to
// reject it with, or with 0 if the connection failed.
func (c *conn) readRequest() (r *http.Request, head *budget.Hold, status int) {
	limits := c.server.currentLimits()
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limit.N = int64(limits.MaxHeaderBytes) + readAheadBytes
	head = c.account.Hold(budget.Head)
	r, err := c.parseHead(head)
	limitReached := c.limit.N <= 0
	c.limit.N = math.MaxInt64
	_ = c.socket.SetReadDeadline(time.Time{})
	if status = headStatus(r, err, limitReached); err == nil && status == 0 {
		return r, head, 0
	}
	head.Release()
	return nil, nil, status
}

// parseHead parses a request head. What it takes is charged to the hold before it is parsed, and corrected after it.
func (c *conn) parseHead(head *budget.Hold) (*http.Request, error) {
	now := time.Now()
	head.AwaitClient(now, c.account.Interrupt) // earlier requests of the connection go on
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	head.Progress(now, budget.Bytes(len(buffered)))
	if err := head.Grow(now, budget.CostOfHead(buffered)); err != nil {
		return nil, err
	}
	c.heads.hold = head
	r, err := http.ReadRequest(c.reader)
	c.heads.hold = nil
	if shed := head.Complete(); shed != nil {
		return nil, shed
	}
	if err != nil {
		return r, err
	}
	head.Shrink(budget.CostOfRequest(r))
	return r, head.Grow(time.Now(), budget.RequestCost)
}

// headStatus returns the status to reject a request with whose head was read with the given result, 0 for none.
func headStatus(r *http.Request, err error, limitReached bool) int {
	switch {
	case err == nil && !isValid(r):
		return http.StatusBadRequest
	case err == nil:
		return 0
	case limitReached:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, budget.ErrShed), errors.Is(err, budget.ErrFull), errors.Is(err, budget.ErrConnection), errors.Is(err, budget.ErrTeam):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err):
		return 0
	}
	return http.StatusBadRequest
}

// headReader charges what is read while a head is parsed to the hold of the head.
type headReader struct {
	source io.Reader
	hold   *budget.Hold // nil while no head is parsed
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	if h.hold == nil || n == 0 {
		return n, err
	}
	now := time.Now()
	h.hold.Progress(now, budget.Bytes(n))
	if refused := h.hold.Grow(now, budget.CostOfHead(p[:n])); refused != nil {
		return 0, refused
	}
	return n, err
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
