package target

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// guardedConn is a connection to a backend server that can be closed for sending before a request is written to it, which
// http.Transport does not allow.
type guardedConn struct {
	net.Conn
	refused atomic.Bool
	unsent  atomic.Bool  // the last Write was refused
	writing atomic.Int32 // Writes in progress
	broken  atomic.Bool  // a Write has failed
}

// writeEndTime bounds the wait for a Write in progress after the end of the input. On a connection that was reset it ends at once.
const writeEndTime = 20 * time.Millisecond

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
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Read implements net.Conn. The end of the input after a failed Write is no ordinary one: the Write has taken the error of a connection
// that was reset, so that a response without a length would seem complete.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.writeFailed() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// writeFailed reports whether a Write has failed, or fails within writeEndTime.
func (c *guardedConn) writeFailed() bool {
	for end := time.Now().Add(writeEndTime); c.writing.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return c.broken.Load()
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
