package serve

import (
	"net"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"jayshift/io/socket"
)

// firstRequestTime is how long a new connection may be without a request before it counts as idle.
const firstRequestTime = 500 * time.Millisecond

// NewLimited returns an HTTP server like New that keeps at most maxConns connections open. It closes the longest idle one
// for a new one, and a new one without reading from it while all are in use.
func NewLimited(l net.Listener, handler http.Handler, maxConns int, options ...khttp.ServerOption) *khttp.Server {
	return NewGuarded(l, handler, Limits{MaxConns: maxConns}, options...)
}

// limitedListener accepts connections for which there is room.
type limitedListener struct {
	net.Listener
	room *socket.Room
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err != nil && l.room.AfterError(err):
		case err != nil || l.room.Admit():
			return c, err
		default:
			_ = c.Close()
		}
	}
}

// tracker knows since when the open connections of a server have been idle.
type tracker struct {
	stuckAfter time.Duration // after which a connection in use counts as idle, 0 for never

	mu    sync.Mutex
	conns map[net.Conn]time.Time // when a connection becomes idle, zero while it is in use
	stuck map[net.Conn]bool      // connections in use that may be closed from their time in conns on
}

func (t *tracker) record(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[c] = time.Now().Add(firstRequestTime)
	case http.StateActive:
		t.conns[c] = time.Time{}
		if t.stuckAfter > 0 {
			t.conns[c] = time.Now().Add(t.stuckAfter)
			t.stuck[c] = true
		}
	case http.StateIdle:
		t.conns[c] = time.Now()
		delete(t.stuck, c)
	default:
		delete(t.conns, c)
		delete(t.stuck, c)
	}
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

func (t *tracker) closeIdle(n int) int {
	return socket.CloseLongestIdle(t.idle(time.Now()), n)
}

func (t *tracker) idle(now time.Time) []socket.Idle {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []socket.Idle
	for c, since := range t.conns {
		if !since.IsZero() && since.Before(now) {
			list = append(list, socket.Idle{Since: since, Close: func() bool { return t.closeIfIdle(c) }})
		}
	}
	return list
}

// closeIfIdle closes the connection unless a request has begun or its bytes wait to be read.
func (t *tracker) closeIfIdle(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, open := t.conns[c]
	if !open || since.IsZero() || since.After(time.Now()) || !t.stuck[c] && socket.HasInput(c) {
		return false
	}
	delete(t.conns, c)
	delete(t.stuck, c)
	_ = c.Close()
	return true
}
