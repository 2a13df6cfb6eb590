package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"jayshift/core/budget"
	"jayshift/io/socket"
)

// Limits bounds what the clients of a server may send and hold. Zero values select the defaults or no limit.
type Limits struct {
	// Budget is the memory that heads and bodies are charged to.
	Budget *budget.Budget
	// HeadBytes returns the longest request head at the moment. Nil selects defaultHeadBytes.
	HeadBytes func() int
	// MaxConns is the number of connections that are kept open, 0 for no limit.
	MaxConns int
	// StuckAfter is the time after which a request whose handler still waits for the client counts as idle, so that its
	// connection may be closed for a new one. 0 for never.
	StuckAfter time.Duration
	// ReadTimeout and WriteTimeout bound the time for a whole request and its response, 0 for no limit.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// StallTimeout is the time that a client may take none of a response, 0 for no limit. It takes the place of WriteTimeout.
	StallTimeout time.Duration
}

const (
	defaultHeadBytes = 64 << 10 // as callers of edge hosts may send without a configured limit
	headTimeout      = 5 * time.Second
	// idleTimeout is above the time after which hosts close their own idle connections to each other.
	idleTimeout = 2 * time.Minute
	// headSlack is what the HTTP server reads beyond the limit of a head: bytes that follow the head, or the rest of a buffer.
	headSlack = 4 << 10
)

var errHeadTooLong = merry.Sentinel("serve: request head too long")

// NewGuarded returns an HTTP server whose clients are bounded by the limits. Like NewLimited, it closes the longest idle
// connection for a new one beyond MaxConns, and a new one without reading from it while all are in use.
func NewGuarded(l net.Listener, handler http.Handler, limits Limits, options ...khttp.ServerOption) *khttp.Server {
	if limits.Budget == nil {
		limits.Budget = budget.New(0)
	}
	maxHead := http.DefaultMaxHeaderBytes
	if limits.HeadBytes == nil {
		maxHead = defaultHeadBytes
		limits.HeadBytes = func() int { return defaultHeadBytes }
	}
	t := &tracker{conns: map[net.Conn]time.Time{}, stuck: map[net.Conn]bool{}, stuckAfter: limits.StuckAfter}
	room := &socket.Room{Max: limits.MaxConns, Open: t.count, CloseIdle: t.closeIdle}
	guarded := &guardedListener{Listener: &limitedListener{Listener: l, room: room}, limits: limits}
	s := New(guarded, guardHandler(handler), options...)
	guarded.encrypted = s.TLSConfig != nil
	s.MaxHeaderBytes = maxHead
	s.ReadHeaderTimeout, s.IdleTimeout, s.ReadTimeout, s.WriteTimeout = headTimeout, idleTimeout, limits.ReadTimeout, limits.WriteTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if g, ok := guardedOf(c); ok {
			return context.WithValue(budget.WithAccount(ctx, g.account), guardKey{}, g)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		t.record(c, state)
		if g, ok := guardedOf(c); ok && state != http.StateNew && state != http.StateActive {
			g.endRequest(state == http.StateIdle)
		}
	}
	return s
}

type guardKey struct{}

// guardHandler ends the charging of the head when its request is handled.
func guardHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g, ok := r.Context().Value(guardKey{}).(*guardedConn); ok && !g.startRequest(r) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// guardedOf returns the guarded connection below TLS, if there is TLS.
func guardedOf(c net.Conn) (*guardedConn, bool) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	g, ok := c.(*guardedConn)
	return g, ok
}

// guardedListener accepts guarded connections.
type guardedListener struct {
	net.Listener
	limits    Limits
	encrypted bool // heads are not seen below TLS, where the requests of HTTP/2 are also interleaved
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &guardedConn{Conn: c, headLimit: l.limits.HeadBytes, stallTimeout: l.limits.StallTimeout, inHead: !l.encrypted, charged: !l.encrypted}
	if l.encrypted {
		// The requests of HTTP/2 share the connection, so that the deadline of one would end the others.
		g.account = l.limits.Budget.Open(func(time.Time) {})
		return g, nil
	}
	g.account = l.limits.Budget.Open(func(at time.Time) { _ = c.SetReadDeadline(at) })
	g.account.BodyRead = func() { _ = c.SetReadDeadline(time.Time{}) }
	return g, nil
}

// guardedConn charges what it reads of a request's head to the budget, and ends a head that is too long.
type guardedConn struct {
	net.Conn
	account      *budget.Account
	headLimit    func() int
	stallTimeout time.Duration
	charged      bool // heads are charged

	mu     sync.Mutex
	inHead bool
	head   *budget.Hold // nil until the first bytes of a head
	size   int          // bytes of the head
}

// Read implements net.Conn.
func (g *guardedConn) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if n > 0 {
		if refused := g.charge(p[:n]); refused != nil {
			// The HTTP server closes the connection without a response after an error of this type.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
		}
	}
	return n, err
}

// Write implements net.Conn.
func (g *guardedConn) Write(p []byte) (int, error) {
	if g.stallTimeout > 0 {
		_ = g.SetWriteDeadline(time.Now().Add(g.stallTimeout))
	}
	return g.Conn.Write(p)
}

func (g *guardedConn) charge(part []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.inHead {
		return nil
	}
	now := time.Now()
	if g.head == nil {
		g.head = g.account.Hold(budget.Head)
		g.head.AwaitClient(now, func() { _ = g.Conn.Close() })
	}
	if g.size += len(part); g.size > g.headLimit()+headSlack {
		return errHeadTooLong
	}
	g.head.Progress(now, budget.Bytes(len(part)))
	return g.head.Grow(now, budget.CostOfHead(part))
}

// startRequest is called when a head was read. It returns false if the head was shed.
func (g *guardedConn) startRequest(r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inHead = false
	if g.head == nil {
		return true
	}
	if g.head.Complete() != nil {
		return false
	}
	g.head.Shrink(budget.CostOfRequest(r))
	return true
}

// endRequest is called when a request was answered and the next one may follow, or the connection was closed.
func (g *guardedConn) endRequest(next bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.head != nil {
		g.head.Release()
	}
	g.head, g.size, g.inHead = nil, 0, next && g.charged
}

// CloseWrite closes the write side, which the HTTP server does before it closes a connection with unread bytes.
func (g *guardedConn) CloseWrite() error {
	if tcp, ok := g.Conn.(*net.TCPConn); ok {
		return merry.Wrap(tcp.CloseWrite())
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (g *guardedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := g.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, merry.New("serve: no socket")
}
