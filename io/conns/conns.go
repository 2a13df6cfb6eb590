// Package conns sends requests to backend servers over HTTP/1.1 connections that are used again. Unlike net/http's
// transport it never sends a request twice, tells whether any byte of it may have been read, and takes no answer that
// belongs to another request.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotSent means that no byte of the request left this host.
	ErrNotSent = merry.Sentinel("conns: request not sent")
	// ErrBroken means that the connection broke, or what came was no answer; the server may have run the request.
	ErrBroken = merry.Sentinel("conns: connection broken")
	// ErrSilent means that no answer came in time; the server may still run the request.
	ErrSilent = merry.Sentinel("conns: no answer in time")
)

const (
	dialTimeout  = 400 * time.Millisecond
	keepAliveGap = 1 * time.Second
	mostIdle     = 8 // connections kept for one server
	idleLife     = 4 * time.Second
	freshLife    = 1 * time.Second // idle time after which a request that must not be lost gets a new connection
	readBuffer   = 4 << 10
	keptBody     = 256 << 10 // larger answers are passed on while they come
	mostStray    = 4         // answers to other requests that are skipped before one's own
	lateGrace    = 20 * time.Millisecond
)

// Request is what is sent to a backend server.
type Request struct {
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	Stream  io.Reader // more of the body, after Body; nil for none
	Length  int64     // of the whole body, -1 when it is sent in chunks
	ID      string    // that the answer repeats in IDHeader
	Careful bool      // takes no connection that was idle for long
}

// Answer is a whole answer, or its start when Rest is not nil.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // what follows Body; its error means that the answer broke off
	Length int64         // of the body, -1 when it was not stated
}

// Pool keeps the idle connections of all backend servers.
type Pool struct {
	// IDHeader is the header in which servers repeat a request's id.
	IDHeader string

	opened atomic.Int64
	mu     sync.Mutex
	idle   map[string][]*conn // by address, the latest used last
}

// New returns a pool without connections.
func New(idHeader string) *Pool {
	return &Pool{IDHeader: idHeader, idle: map[string][]*conn{}}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    time.Time
	life    time.Duration // idle time that the server allows
}

// Do sends the request to the address and returns its answer. The connection is opened within the deadline, which also
// bounds the answer. Connected is how long opening took, zero when a connection was used again.
func (p *Pool) Do(ctx context.Context, address string, r Request, deadline time.Time) (a *Answer, connected time.Duration, err error) {
	c := p.take(address, r.Careful)
	if c == nil {
		started := time.Now()
		if c, err = p.dial(ctx, address, deadline); err != nil {
			return nil, 0, err
		}
		connected = time.Since(started)
	}
	a, err = p.exchange(ctx, c, r, deadline)
	return a, connected, err
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, Deadline: deadline,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveGap, Interval: keepAliveGap, Count: 2},
	}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(ErrNotSent, err.Error())
	}
	p.opened.Add(1)
	c := &conn{Conn: socket, address: address, life: idleLife}
	c.reader = bufio.NewReaderSize(socket, readBuffer)
	return c, nil
}

// take returns an idle connection that is still open and has nothing to read, the latest used first.
func (p *Pool) take(address string, careful bool) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		idle := time.Since(c.used)
		if idle < c.life && !(careful && idle > freshLife) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// quiet tells whether the connection is open and no byte has come since the last answer.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= mostIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that were idle for too long, and all of addresses that are not wanted any more.
func (p *Pool) Sweep(now time.Time, wanted func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(address) && now.Sub(c.used) < c.life {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// exchange sends the request and reads its answer.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request, deadline time.Time) (*Answer, error) {
	// Closing the connection tells the server that the caller has left.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(deadline.Add(lateGrace))
	sendErr := c.send(r)
	a, reusable, err := p.receive(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, fault(ctx, sendErr, err)
	}
	reusable = reusable && sendErr == nil
	if a.Rest != nil {
		a.Rest = &rest{Reader: a.Rest, done: func(whole bool) { p.finish(c, stop, reusable && whole) }}
		return a, nil
	}
	p.finish(c, stop, reusable)
	return a, nil
}

// finish keeps the connection for the next request, or closes it.
func (p *Pool) finish(c *conn, stop func() bool, reusable bool) {
	if !stop() || !reusable || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	p.put(c)
}

// fault names what went wrong.
func fault(ctx context.Context, sendErr, err error) error {
	cause := err
	if sendErr != nil {
		cause = sendErr
	}
	var timeout net.Error
	if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
		return merry.Prepend(ErrSilent, cause.Error())
	}
	return merry.Prepend(ErrBroken, cause.Error())
}

// send writes the request. An error does not mean that no answer comes: servers may refuse a body half-way.
func (c *conn) send(r Request) error {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head)
	switch {
	case r.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n\r\n")
	default:
		head.WriteString("\r\n")
	}
	if r.Length < 0 {
		return c.sendChunked(&head, r)
	}
	buffers := net.Buffers{head.Bytes(), r.Body}
	if _, err := buffers.WriteTo(c.Conn); err != nil {
		return err
	}
	if r.Stream == nil {
		return nil
	}
	_, err := io.CopyN(c.Conn, r.Stream, r.Length-int64(len(r.Body)))
	return err
}
