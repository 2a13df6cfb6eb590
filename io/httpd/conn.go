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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	mostSkipped = 256 << 10 // bytes of a body that nobody wanted
	bodySlack   = 4 << 10   // that the reader may hold of what follows a header
)

// conn is one connection of a caller.
type conn struct {
	server  *Server
	socket  net.Conn
	limit   *io.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	ctx     context.Context
	cancel  context.CancelFunc
	pending atomic.Int64  // requests that were read and not answered
	ending  atomic.Bool   // the last answer was sent
	slots   chan struct{} // one for each request that may run

	mu     sync.Mutex
	last   chan struct{} // closed once the answer before the next request's is out
	broken bool          // no further answer can be sent
}

// newConn wraps a socket.
func newConn(s *Server, socket net.Conn) *conn {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveGap, Interval: keepAliveGap, Count: 2})
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	limit := &io.LimitedReader{R: socket, N: math.MaxInt64}
	return &conn{
		server: s, socket: socket, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer),
		writer: bufio.NewWriterSize(socket, writeBuffer), ctx: ctx, cancel: cancel, last: first,
		slots: make(chan struct{}, mostPipelined),
	}
}

func (c *conn) close() {
	c.cancel()
	_ = c.socket.Close()
}

// closeIdle closes the connection if no request runs on it.
func (c *conn) closeIdle() {
	if c.pending.Load() == 0 {
		c.close()
	}
}

// serve reads requests until the caller leaves. It reads on while requests run, which also shows that the caller left.
func (c *conn) serve() {
	defer c.server.track(c, false)
	defer c.close()
	for {
		if !c.await() || c.ending.Load() {
			c.linger()
			return
		}
		request, refused := c.read()
		if refused != 0 {
			c.refuse(refused)
			return
		}
		if request == nil {
			return
		}
		if !c.run(request) {
			c.finish()
			return
		}
	}
}

// finish waits until the last request is answered, or the caller leaves.
func (c *conn) finish() {
	_ = c.socket.SetReadDeadline(time.Time{})
	if _, err := c.reader.Peek(1); err == nil {
		c.mu.Lock()
		done := c.last
		c.mu.Unlock()
		c.wait(done) // the caller has sent more, which is not read
	}
	c.linger()
}

// await waits for the first byte of the next request.
func (c *conn) await() bool {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	c.limit.N = math.MaxInt64
	for {
		deadline := time.Now().Add(c.server.limits().IdleTime)
		_ = c.socket.SetReadDeadline(deadline)
		if _, err := c.reader.Peek(1); err == nil {
			return true
		} else if !errors.Is(err, os.ErrDeadlineExceeded) || c.pending.Load() == 0 {
			return false
		}
	}
}

// read parses a request, or returns the status that refuses it.
func (c *conn) read() (r *http.Request, status int) {
	limits := c.server.limits()
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	c.limit.N = int64(limits.HeaderBytes) + bodySlack
	r, err := http.ReadRequest(c.reader)
	exhausted := c.limit.N <= 0
	c.limit.N = math.MaxInt64
	_ = c.socket.SetReadDeadline(time.Time{})
	switch {
	case err == nil && !valid(r):
		return nil, http.StatusBadRequest
	case err == nil:
		return r, 0
	case exhausted:
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetwork(err):
		return nil, 0
	}
	return nil, http.StatusBadRequest
}

func isNetwork(err error) bool {
	var e net.Error
	return errors.As(err, &e)
}

// valid tells whether a request may be passed on: it names its host and all its fields are well formed.
func valid(r *http.Request) bool {
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

// refuse answers a request that could not be read, once those before it are answered, and ends the connection.
func (c *conn) refuse(status int) {
	turn, done := c.queue()
	defer close(done)
	c.wait(turn)
	_ = c.write(&Reply{Status: status, Header: http.Header{}, Length: 0}, "HTTP/1.1", true)
	c.ending.Store(true)
	c.linger()
}

// linger lets the caller read the last answer: closing with unread bytes would reset the connection.
func (c *conn) linger() {
	if !c.ending.Load() {
		return
	}
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.socket, mostSkipped)
}

const bodyTime = 30 * time.Second // for sending a body

const lingerTime = 300 * time.Millisecond

// queue takes the next place in the order of answers: the answer may go out once turn is closed.
func (c *conn) queue() (turn <-chan struct{}, done chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, done = c.last, make(chan struct{})
	c.last = done
	return turn, done
}

func (c *conn) wait(turn <-chan struct{}) {
	select {
	case <-turn:
	case <-c.ctx.Done():
	}
}

// run starts a request, and tells whether another one may be read after it.
func (c *conn) run(r *http.Request) (more bool) {
	c.pending.Add(1)
	c.server.running.Add(1)
	turn, done := c.queue()
	last := r.Close || !r.ProtoAtLeast(1, 1)
	if r.ContentLength == 0 {
		go c.answer(r, turn, done, last)
		return !last
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyTime))
	body := &body{ReadCloser: r.Body, ended: make(chan struct{})}
	r.Body = body
	if httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
		body.before = func() { c.goOn(turn) }
	}
	go c.answer(r, turn, done, last)
	// The next request follows the body, so nothing else may be read before it has ended.
	select {
	case <-body.ended:
	case <-done:
		body.end(nil)
	}
	return !last && body.whole()
}

// goOn tells the caller to send its body.
func (c *conn) goOn(turn <-chan struct{}) {
	c.wait(turn)
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n")
}

// answer handles a request and sends the answer when it is its turn.
func (c *conn) answer(r *http.Request, turn <-chan struct{}, done chan struct{}, last bool) {
	defer func() {
		c.pending.Add(-1)
		c.server.running.Add(-1)
		<-c.slots
		close(done)
	}()
	reply := c.server.Handle(c.ctx, r)
	c.wait(turn)
	if c.ctx.Err() != nil || c.broken {
		return
	}
	// While further requests were read, they are answered before the connection ends.
	last = last || c.pending.Load() <= 1 && (c.server.Leaving() || c.server.stopping.Load())
	if reply.Abort || c.write(reply, r.Proto, last) != nil {
		c.broken = true
		c.close()
		return
	}
	if last {
		c.broken = true
		c.end()
	}
}

// end closes the connection after its last answer.
func (c *conn) end() {
	c.ending.Store(true)
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime))
}
