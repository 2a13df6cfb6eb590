package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"jayshift/core/budget"
	"jayshift/io/socket"
)

const (
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	maxDiscard      = 256 << 10 // unread bytes that are discarded after a request or before closing a connection
	readAheadBytes  = 4 << 10   // allowance for bytes after a header that the buffered reader has already read
)

// conn is a connection from a caller.
type conn struct {
	server     *Server
	socket     net.Conn
	limit      *io.LimitedReader
	account    *budget.Account
	heads      *headReader
	reader     *bufio.Reader
	writer     *bufio.Writer
	ctx        context.Context
	cancel     context.CancelFunc
	unanswered atomic.Int64 // requests that were read but not yet answered
	lastSent   atomic.Bool  // the last response was sent
	reading    atomic.Bool  // a request is being read
	used       atomic.Bool  // a request was read
	active     atomic.Int64 // Unix nanoseconds of the last accepted, read or answered request
	flushed    atomic.Int64 // Unix nanoseconds at which the end of a response was given to the socket; 0 once that is counted as answered
	acceptedAt time.Time
	slots      chan struct{} // semaphore of maxPipelined requests

	mu          sync.Mutex
	prevDone    chan struct{} // closed once the most recently read request is answered
	accepted    int64         // requests that were read to be handled
	held        bool          // requests behind the last accepted one wait until that one is answered
	closing     bool          // the response that is being written says that it is the last one; no further request is handled
	writeClosed bool          // no further response can be sent; accessed only by the request whose turn it is
}

// newConn returns the connection for an accepted socket.
func newConn(s *Server, accepted net.Conn) *conn {
	if tcp, ok := accepted.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2})
	}
	ctx, cancel := context.WithCancel(socket.WithConn(context.Background(), accepted))
	first := make(chan struct{})
	close(first)
	account := s.Budget.Open(func(at time.Time) { _ = accepted.SetReadDeadline(at) })
	ctx = budget.WithAccount(ctx, account)
	heads := &headReader{source: accepted}
	limit := &io.LimitedReader{R: heads, N: math.MaxInt64}
	c := &conn{
		server: s, socket: accepted, limit: limit, account: account, heads: heads, reader: bufio.NewReaderSize(limit, readBufferSize),
		writer: bufio.NewWriterSize(accepted, writeBufferSize), ctx: ctx, cancel: cancel, prevDone: first,
		slots: make(chan struct{}, maxPipelined), acceptedAt: time.Now(),
	}
	c.recordActivity()
	return c
}

func (c *conn) recordActivity() { c.active.Store(time.Now().UnixNano()) }

func (c *conn) lastActive() time.Time { return time.Unix(0, c.active.Load()) }

func (c *conn) close() {
	c.cancel()
	_ = c.socket.Close()
}

// closeIdle closes the connection if its caller waits for nothing, and reports whether it did. A new connection is given
// firstRequestTime for its first request.
func (c *conn) closeIdle(now time.Time) bool {
	isNew := !c.used.Load() && now.Sub(c.acceptedAt) < firstRequestTime
	if isNew || c.reading.Load() || c.unanswered.Load() > 0 || c.lastSent.Load() || socket.HasInput(c.socket) {
		return false
	}
	// The caller's bytes may have been read since the first check.
	if c.reading.Load() || c.unanswered.Load() > 0 {
		return false
	}
	c.close()
	return true
}

// serve reads requests until the connection ends. It keeps reading while requests are handled, which also detects that
// the caller has disconnected.
func (c *conn) serve() {
	defer c.server.track(c, false)
	defer c.close()
	for {
		if !c.awaitRequest() || c.lastSent.Load() {
			c.linger()
			return
		}
		request, head, status := c.readRequest()
		if status != 0 {
			c.reject(status)
			return
		}
		if request == nil {
			return
		}
		if !c.startRequest(request, head) {
			c.awaitLastResponse()
			return
		}
	}
}

// awaitLastResponse waits until the last request is answered or the caller disconnects. What the caller still sends stays
// unread.
func (c *conn) awaitLastResponse() {
	c.waitUnread(c.lastDone())
	c.linger()
}

// lastDone returns the channel that is closed once all requests that were read are answered.
func (c *conn) lastDone() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prevDone
}

// awaitRequest waits for a free slot and for the first byte of the next request. It returns false when the connection
// has ended or was idle for too long.
func (c *conn) awaitRequest() bool {
	if !c.takeSlot() {
		return false
	}
	c.awaitOrder()
	c.limit.N = math.MaxInt64
	for {
		deadline := time.Now().Add(c.server.currentLimits().IdleTimeout)
		_ = c.socket.SetReadDeadline(deadline)
		if _, err := c.reader.Peek(1); err == nil {
			c.reading.Store(true)
			c.used.Store(true)
			return true
		} else if !errors.Is(err, os.ErrDeadlineExceeded) || c.unanswered.Load() == 0 {
			return false
		}
	}
}

// takeSlot waits for a free slot. It returns false when the connection has ended.
func (c *conn) takeSlot() bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	defer socket.Watch(c.socket, c.close)()
	select {
	case c.slots <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// reject responds with the status to a request that could not be read, after the responses to all earlier requests, and
// closes the connection.
func (c *conn) reject(status int) {
	turn, done := c.takeTurn()
	defer close(done)
	c.waitUnread(turn)
	h := http.Header{}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	_ = c.write(&Response{Status: status, Header: h, ContentLength: 0}, c.account.Hold(budget.Response), "HTTP/1.1", true)
	c.lastSent.Store(true)
	c.linger()
}

// linger closes the write side and discards what the caller still sends, so that the caller can read the last response:
// closing a socket with unread data would reset the connection.
func (c *conn) linger() {
	if !c.lastSent.Load() {
		return
	}
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.socket, maxDiscard)
}

const bodyReadTimeout = 30 * time.Second // for receiving a request body

// firstRequestTime is how long a stopping server waits for the first request of a new connection.
const firstRequestTime = 500 * time.Millisecond

const lingerTimeout = 300 * time.Millisecond // for reading from the caller after the last response

// startRequest starts handling a request and waits for its body to be consumed. It reports whether another request may
// be read.
func (c *conn) startRequest(r *http.Request, head *budget.Hold) (keepReading bool) {
	number, ok := c.accept()
	if !ok {
		head.Release()
		return false
	}
	ctx := c.withPosition(number)
	c.server.running.Add(1)
	c.reading.Store(false)
	previous, done := c.takeTurn()
	closeAfter := r.Close || !r.ProtoAtLeast(1, 1)
	if r.ContentLength == 0 {
		go c.handle(ctx, r, head, previous, done, closeAfter)
		return !closeAfter
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body := &requestBody{ReadCloser: r.Body, ended: make(chan struct{})}
	r.Body = body
	if httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
		body.beforeRead = func() { c.sendContinue(previous) }
	}
	go c.handle(ctx, r, head, previous, done, closeAfter)
	// The next request follows the body on the connection, so it can be read only after the end of the body.
	defer socket.Watch(c.socket, c.close)()
	select {
	case <-body.ended:
	case <-done:
		body.finish(nil)
	}
	return !closeAfter && body.drain()
}

// sendContinue sends 100 Continue after the responses to all earlier requests.
func (c *conn) sendContinue(turn <-chan struct{}) {
	c.wait(turn)
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n")
}

// handle handles a request and writes its response after those to all earlier requests.
func (c *conn) handle(ctx context.Context, r *http.Request, head *budget.Hold, previous <-chan struct{}, done chan struct{}, closeAfter bool) {
	defer func() {
		head.Release()
		c.recordActivity()
		c.unanswered.Add(-1)
		c.flushed.Store(0)
		c.server.running.Add(-1)
		<-c.slots
		c.end(done)
	}()
	resp := c.server.handle(ctx, r)
	defer resp.end()
	unread := c.account.Hold(budget.Response)
	unread.Force(time.Now(), budget.Bytes(len(resp.Body)))
	defer unread.Release()
	if body, ok := r.Body.(*requestBody); ok && body.failed() {
		closeAfter = true
	}
	c.wait(previous)
	unread.AwaitClient(time.Now(), c.close)
	if c.ctx.Err() != nil || c.writeClosed {
		return
	}
	closeAfter = c.endWith(closeAfter)
	if resp.Abort || c.write(resp, unread, r.Proto, closeAfter) != nil {
		c.writeClosed = true
		c.close()
		return
	}
	if closeAfter {
		c.writeClosed = true
		c.closeWrite()
	}
}

// closeWrite closes the write side after the last response and limits further reading to lingerTimeout.
func (c *conn) closeWrite() {
	c.lastSent.Store(true)
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
}
