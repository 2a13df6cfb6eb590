// Package httpd serves HTTP/1.1 connections whose callers may send further requests before the first is answered.
// Requests of one connection run side by side and are answered in the order in which they came; the library's server
// runs them one after the other. Requests are parsed by net/http.
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
)

const (
	mostPipelined  = 16 // requests of one connection that run side by side
	writeTimeout   = 15 * time.Second
	acceptPause    = 20 * time.Millisecond // after a failed accept, as when descriptors run out
	leastIdle      = 5 * time.Second
	defaultHeaders = 64 << 10
	stopCheck      = 10 * time.Millisecond
	keepAliveGap   = 5 * time.Second
)

// ErrCut means that requests were still running when a server had to stop.
var ErrCut = merry.Sentinel("httpd: requests cut at the stop")

// Reply is the answer to a request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // what follows Body; when it fails, the connection ends so that the answer does not look whole
	Length int64         // of the whole body, -1 when it is not known
	Abort  bool          // ends the connection without an answer
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	HeaderTime  time.Duration // for the header, from its first byte
	IdleTime    time.Duration // between requests
}

// Server answers the connections of one listener.
type Server struct {
	// Handle answers one request. Its context ends when the caller leaves.
	Handle func(ctx context.Context, r *http.Request) *Reply
	// Limits returns the limits that hold now.
	Limits func() Limits
	// Leaving tells whether connections are to end with their next answer.
	Leaving func() bool
	Log     *slog.Logger

	listener net.Listener
	stopping atomic.Bool
	running  atomic.Int64

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server of the listener; its function fields must be set before it starts.
func New(l net.Listener, log *slog.Logger) *Server {
	return &Server{listener: l, Log: log, conns: map[*conn]bool{}}
}

// Start accepts connections until the server stops.
func (s *Server) Start(context.Context) error {
	for {
		socket, err := s.listener.Accept()
		if s.stopping.Load() {
			if err == nil {
				_ = socket.Close()
			}
			return nil
		}
		if err != nil {
			s.Log.Warn("connection not accepted", "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, socket)
		s.track(c, true)
		go c.serve()
	}
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

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Stop takes no more connections and requests, and waits for those that run until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	if !s.stopping.Swap(true) {
		_ = s.listener.Close()
	}
	ticker := time.NewTicker(stopCheck)
	defer ticker.Stop()
	for {
		for _, c := range s.open() {
			c.closeIdle()
		}
		if s.running.Load() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			for _, c := range s.open() {
				c.close()
			}
			return ErrCut
		}
	}
}

// limits returns the limits that hold now, with sensible ones in place of those that are not stated.
func (s *Server) limits() Limits {
	l := s.Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaders
	}
	if l.HeaderTime <= 0 {
		l.HeaderTime = leastIdle
	}
	l.IdleTime = max(l.IdleTime, leastIdle)
	return l
}
