package target

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// guardedConn is a connection to a backend server that can be closed for sending before a request is written to it, which
// http.Transport does not allow.
type guardedConn struct {
	net.Conn
	refused atomic.Bool
	unsent  atomic.Bool // the last Write was refused
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

// refusedUnsent reports whether the connection was refused before the request that was to be sent on it.
func (c *guardedConn) refusedUnsent() bool { return c != nil && c.unsent.Load() }

// errRefused means that the connection must not be used any more.
var errRefused = merry.Sentinel("target: connection refused for sending")

// Write implements net.Conn. It returns errRefused once refuse was called.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		c.unsent.Store(true)
		return 0, errRefused
	}
	return c.Conn.Write(b)
}

// cancelingBody ends the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	conn   *guardedConn // to be closed with the body, nil if it may be used again
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	err := b.ReadCloser.Close()
	if b.conn != nil {
		_ = b.conn.Close()
	}
	return err
}
