// Package conns sends requests to backend servers over pooled HTTP/1.1 connections. Unlike http.Transport it never
// retries a request, distinguishes requests that were not sent from those that the server may have run, and never
// returns a response that belongs to another request.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

var (
	// ErrNotSent means that the connection could not be opened, so no byte of the request was sent.
	ErrNotSent = merry.Sentinel("conns: request not sent")
	// ErrRefused is the ErrNotSent of a connection that the server's machine has refused: it is reached, but no process listens.
	ErrRefused = merry.Prepend(ErrNotSent, "conns: connection refused")
	// ErrCallerLeft means that Request.CallerLeft reported so before a byte of the request was sent.
	ErrCallerLeft = merry.Sentinel("conns: caller left, request not sent")
	// ErrOutdated means that Request.Outdated reported so before a byte of the request was sent.
	ErrOutdated = merry.Sentinel("conns: request outdated, not sent")
	// ErrBroken means that the connection broke or that no valid response was received; the server may have run the
	// request.
	ErrBroken = merry.Sentinel("conns: connection broken")
	// ErrTimeout means that the deadline passed or the context was canceled before the response; the server may still
	// be running the request.
	ErrTimeout = merry.Sentinel("conns: no response before the deadline")
)

const (
	dialTimeout       = 400 * time.Millisecond
	keepAliveInterval = 1 * time.Second
	maxIdlePerServer  = 8               // idle connections per server
	maxIdleTime       = 4 * time.Second // after which a connection is not used again
	maxFreshIdleTime  = 1 * time.Second // of connections that requests with AvoidStale may use
	readBufferSize    = 4 << 10
	maxServed         = 256                   // requests on one connection, whose ids it remembers
	maxResponseReads  = 4                     // responses read per request, including interim responses and those to other requests
	deadlineGrace     = 20 * time.Millisecond // added to the request's deadline for the connection's deadline
	streamGrace       = 2 * time.Second       // added instead once the caller can be sent the start of a streamed body
)

// Request is an HTTP request to a backend server.
type Request struct {
	Method        string
	Target        string // request target: path and query as sent by the caller
	Host          string
	Header        http.Header
	Body          []byte
	BodyStream    io.Reader   // remainder of the body after Body; nil if Body is complete
	ContentLength int64       // of the complete body in bytes, -1 for chunked encoding
	ID            string      // request id, which the response must carry in Pool.IDHeader
	CallerLeft    func() bool // asked once a connection is open, right before the request is sent; nil for a caller that stays
	Outdated      func() bool // asked then too; nil for a request that is always to be sent
	// MayStream is asked before a body is streamed, nil for always. If it returns false, the body is buffered whole, so that the caller of Do knows
	// whether it breaks off. If there is no memory for that, it is streamed all the same, and NotBuffered is called.
	MayStream   func() bool
	NotBuffered func()
	AvoidStale  bool // for requests that must not be lost: use no connection idle for longer than maxFreshIdleTime
}

// Response is the response of a backend server. Its body is complete in Body unless BodyStream is set. The end of the
// context that was passed to Do releases the body: it closes BodyStream's connection, if that is not at its end, and
// frees the memory reserved for a large body.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	BodyStream    io.ReadCloser // remainder of the body after Body, or nil; a read error other than io.EOF means truncation
	ContentLength int64         // of the complete body in bytes, -1 if unknown
	untilClose    bool          // the body ends with the connection
}

// Pool is a pool of idle connections to all backend servers.
type Pool struct {
	// IDHeader is the name of the response header that carries the id of the request.
	IDHeader string

	buffers budget // memory for the bodies of large responses
	opened  atomic.Int64
	mu      sync.Mutex
	idle    map[string][]*conn // by address, the most recently used last
}

// New returns an empty pool. Responses are matched to requests by the header idHeader. maxBuffered limits the memory, in
// bytes, for response bodies that are larger than maxSmallBody; beyond it they are streamed.
func New(idHeader string, maxBuffered int64) *Pool {
	p := &Pool{IDHeader: idHeader, idle: map[string][]*conn{}}
	p.buffers.free.Store(maxBuffered)
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address  string
	limit    *io.LimitedReader // below reader; limits the bytes of a response header
	reader   *bufio.Reader
	lastUsed time.Time
	served   []uint64      // hashes of the ids of the requests sent, whose answers the server may write again
	maxIdle  time.Duration // maximum idle time, at most what the server's Keep-Alive header allows
}

// Do sends the request to the address and returns its response. The deadline applies to both dialing and the response.
// connectTime is the time it took to open a connection, or zero if an idle connection was reused. The error is
// ErrNotSent, ErrCallerLeft, ErrOutdated, ErrBroken or ErrTimeout. A request without an id gets a connection of its own, since its response could not
// be told from a late one to an earlier request.
func (p *Pool) Do(ctx context.Context, address string, r Request, deadline time.Time) (resp *Response, connectTime time.Duration, err error) {
	var c *conn
	if r.ID != "" {
		c = p.takeIdle(address, r)
	}
	if c == nil {
		started := time.Now()
		if c, err = p.dial(ctx, address, deadline); err != nil {
			return nil, 0, err
		}
		connectTime = time.Since(started)
	}
	if err := r.mayBeSent(); err != nil {
		p.putIdle(c)
		return nil, connectTime, err
	}
	resp, err = p.roundTrip(ctx, c, r, deadline)
	return resp, connectTime, err
}

// mayBeSent returns why the request is not to be sent, nil if it is.
func (r *Request) mayBeSent() error {
	switch {
	case r.CallerLeft != nil && r.CallerLeft():
		return ErrCallerLeft
	case r.Outdated != nil && r.Outdated():
		return ErrOutdated
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, Deadline: deadline,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
	}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, merry.Prepend(ErrRefused, err.Error())
	}
	if err != nil {
		return nil, merry.Prepend(ErrNotSent, err.Error())
	}
	p.opened.Add(1)
	c := &conn{Conn: opened, address: address, maxIdle: maxIdleTime, limit: &io.LimitedReader{R: opened, N: math.MaxInt64}}
	c.reader = bufio.NewReaderSize(c.limit, readBufferSize)
	return c, nil
}

// roundTrip sends the request on the connection and reads the response.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r Request, deadline time.Time) (*Response, error) {
	// Closing the connection signals to the server that the request was canceled.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(deadline.Add(deadlineGrace))
	c.served = append(c.served, xxhash.Sum64String(r.ID))
	sendErr := c.send(r)
	resp, reusable, err := p.receive(ctx, c, r)
	if err == nil && sendErr != nil && resp.untilClose {
		// The failed write has taken the connection's error, so that a body cut by a reset seems to end in order.
		err = merry.Prepend(io.ErrUnexpectedEOF, "response without a length, cut while the request was sent")
	}
	if err != nil {
		stop()
		_ = c.Close()
		return nil, classifyError(ctx, sendErr, err)
	}
	reusable = reusable && sendErr == nil && r.ID != ""
	if resp.BodyStream != nil {
		_ = c.SetDeadline(deadline.Add(streamGrace))
		resp.BodyStream = &bodyStream{body: resp.BodyStream, onEnd: func(complete bool) { p.release(c, stop, reusable && complete) }}
		return resp, nil
	}
	p.release(c, stop, reusable)
	return resp, nil
}

// release returns the connection to the pool. It closes the connection if it is not reusable, if the context ended, or
// if unread data is buffered.
func (p *Pool) release(c *conn, stop func() bool, reusable bool) {
	if !stop() || !reusable || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	p.putIdle(c)
}

// classifyError returns ErrTimeout for timeouts and a canceled context, else ErrBroken, with the cause prepended.
func classifyError(ctx context.Context, sendErr, err error) error {
	cause := err
	if sendErr != nil {
		cause = sendErr
	}
	var timeout net.Error
	if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
		return merry.Prepend(ErrTimeout, cause.Error())
	}
	return merry.Prepend(ErrBroken, cause.Error())
}

// send writes the request. The response must be read even after an error, since a server may reject a request before it
// has read the whole body.
func (c *conn) send(r Request) error {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head)
	switch {
	case r.ContentLength < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n\r\n")
	default:
		head.WriteString("\r\n")
	}
	if r.ContentLength < 0 {
		return c.sendChunked(&head, r)
	}
	buffers := net.Buffers{head.Bytes(), r.Body}
	if _, err := buffers.WriteTo(c.Conn); err != nil {
		return err
	}
	if r.BodyStream == nil {
		return nil
	}
	_, err := io.CopyN(c.Conn, r.BodyStream, r.ContentLength-int64(len(r.Body)))
	return err
}
