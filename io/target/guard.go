package target

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// guardedConn is a connection to a backend server that can be closed for sending before a request is written to it, which
// http.Transport does not allow.
type guardedConn struct {
	net.Conn
	refused atomic.Bool
}

func dialGuarded(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c}, nil
	}
}

// refuse makes each later Write fail without sending.
func (c *guardedConn) refuse() { c.refused.Store(true) }

// Write implements net.Conn. It returns ErrCallerLeft once refuse was called.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, ErrCallerLeft
	}
	return c.Conn.Write(b)
}

// cancelingBody ends the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
