// Package httpd is an HTTP/1.1 server with concurrent pipelining: the requests of one connection are handled
// concurrently and answered in the order in which they arrived, while http.Server handles them one after another.
// Requests are parsed by net/http.
package httpd

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/budget"
	"jayshift/io/panics"
	"jayshift/io/socket"
)

const (
	maxPipelined       = 16 // concurrently handled requests per connection
	writeTimeout       = 15 * time.Second
	acceptRetryDelay   = 20 * time.Millisecond // after a failed accept, for example when file descriptors are exhausted
	minIdleTimeout     = 5 * time.Second       // also the default header timeout
	defaultHeaderBytes = 64 << 10
	stopPollInterval   = 10 * time.Millisecond
	keepAliveInterval  = 5 * time.Second
)

// ErrRequestsAborted means that requests were still running when the context of Stop ended.
var ErrRequestsAborted = merry.Sentinel("httpd: running requests aborted")

// Response is the response to a request. Its body is complete in Body unless BodyStream is set.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	BodyStream    io.ReadCloser // remainder of the body after Body, or nil; a read error closes the connection, which shows the truncation
	ContentLength int64         // of the complete body in bytes, -1 if unknown
	Abort         bool          // close the connection without a response
	Release       func()        // called once the response has been written or dropped; may be nil
}

// end closes the BodyStream and calls Release.
func (r *Response) end() {
	if r.BodyStream != nil {
		_ = r.BodyStream.Close()
	}
	if r.Release != nil {
		r.Release()
	}
}

// Limits bounds the size and duration of what callers send. Zero values select the defaults.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // for reading the header, from its first byte
	IdleTimeout    time.Duration // between requests, at least minIdleTimeout
}

// Server serves the connections of one listener.
type Server struct {
	// Handle handles one request. The context is canceled when the caller disconnects.
	Handle func(ctx context.Context, r *http.Request) *Response
	// Limits returns the current limits.
	Limits func() Limits
	// DisableKeepAlives reports whether each connection is closed after its next response.
	DisableKeepAlives func() bool
	// MaxConns is the number of connections that are kept open, 0 for no limit. Beyond it the longest idle one is closed for
	// a new one, and a new one without reading from it while all are in use.
	MaxConns int
	// Budget is the memory for what callers send and do not read. New sets one without a limit.
	Budget *budget.Budget
	Log    *slog.Logger

	listener    net.Listener
	acceptEnded chan struct{} // closed once no further connection is accepted
	stopping    atomic.Bool
	running     atomic.Int64
	reclaimed   atomic.Int64 // idle connections closed for new ones
	turnedAway  atomic.Int64 // new connections closed because all were in use
	// inOrderUntil is the time, in Unix nanoseconds, until which the requests of a connection are handled one after another.
	inOrderUntil atomic.Int64

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server for the listener. The function fields must be set before Start.
func New(l net.Listener, log *slog.Logger) *Server {
	return &Server{listener: l, Log: log, Budget: budget.New(0), conns: map[*conn]bool{}, acceptEnded: make(chan struct{})}
}

// Start accepts connections until Stop is called. It ignores its context and always returns nil.
func (s *Server) Start(context.Context) error {
	defer close(s.acceptEnded)
	room := &socket.Room{Max: s.MaxConns, Open: s.Connections, CloseIdle: s.closeLongestIdle, Ending: s.hasEnding}
	for {
		accepted, err := s.listener.Accept()
		switch {
		case err == nil && room.Admit():
			s.serveConn(accepted)
		case err == nil:
			s.turnedAway.Add(1)
			_ = accepted.Close()
		case s.stopping.Load():
			s.closeListener()
			return nil
		case !room.AfterError(err):
			s.Log.Warn("connection not accepted", "error", err.Error())
			time.Sleep(acceptRetryDelay)
		}
	}
}

// closeLongestIdle closes up to n idle connections, those that were idle for longest first, and returns how many.
func (s *Server) closeLongestIdle(n int) int {
	var idle []socket.Idle
	for _, c := range s.openConns() {
		if c.unanswered.Load() == 0 {
			idle = append(idle, socket.Idle{Since: c.lastActive(), Close: func() bool { return s.closeIfIdle(c) }})
		}
	}
	closed := socket.CloseLongestIdle(idle, n)
	s.reclaimed.Add(int64(closed))
	if closed > 0 {
		s.Log.Info("idle connections closed for new callers", "closed", closed, "open", s.Connections())
	}
	return closed
}

func (s *Server) serveConn(accepted net.Conn) {
	c := newConn(s, accepted)
	s.track(c, true)
	go c.serve()
}

// handle calls Handle. A panic ends the request's connection without an answer, since it is not known whether the request
// has run.
func (s *Server) handle(ctx context.Context, r *http.Request) (resp *Response) {
	if err := panics.Catch(func() { resp = s.Handle(ctx, r) }); err != nil {
		s.Log.Error("request not handled", "method", r.Method, "error", err.Error())
		return &Response{Abort: true}
	}
	return resp
}

func (s *Server) track(c *conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) closeIfIdle(c *conn) bool {
	closed := c.closeIdle(time.Now())
	if closed {
		s.track(c, false)
	}
	return closed
}

// Reclaimed returns the number of idle connections that were closed for new ones, and of new ones that were closed because
// all others were in use.
func (s *Server) Reclaimed() (idle, turnedAway int64) { return s.reclaimed.Load(), s.turnedAway.Load() }

// Stop accepts the connections that callers have already opened, closes the listener and idle connections, and waits for
// running requests. If the context ends first, it closes all connections and returns ErrRequestsAborted.
func (s *Server) Stop(ctx context.Context) error {
	if !s.stopping.Swap(true) {
		s.endAccept()
	}
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		if s.closeIdle() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			for _, c := range s.openConns() {
				c.close()
			}
			return ErrRequestsAborted
		}
	}
}

// closeIdle closes idle connections. It reports whether no connection is accepted any more and none was left open.
func (s *Server) closeIdle() bool {
	ended := false
	select {
	case <-s.acceptEnded:
		ended = true
	default:
	}
	for _, c := range s.openConns() {
		ended = c.closeIdle(time.Now()) && ended
	}
	return ended && s.running.Load() == 0
}

// currentLimits returns the current limits with defaults for those that are not set.
func (s *Server) currentLimits() Limits {
	l := s.Limits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = minIdleTimeout
	}
	l.IdleTimeout = max(l.IdleTimeout, minIdleTimeout)
	return l
}
