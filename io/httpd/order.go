package httpd

import (
	"context"
	"time"
)

// inOrderTime is the time for which requests of a connection are handled one after another, once a response could not be buffered whole while
// requests behind it were handled already.
const inOrderTime = 10 * time.Second

type positionKey struct{}

// position is the place of a request on its connection.
type position struct {
	conn   *conn
	number int64 // of the request, the first one is 1
}

// MayStream reports whether the response to the request of the context may be sent before it is complete, so that it closes the connection if it
// breaks off: no request behind it is being handled. If so, none is handled until the response is written.
func MayStream(ctx context.Context) bool {
	p, ok := ctx.Value(positionKey{}).(position)
	return !ok || p.conn.holdRequests(p.number)
}

// RequireOrder records that the response to the request of the context cannot be buffered, although requests behind it are being handled. For
// inOrderTime the server handles the requests of a connection one after another.
func RequireOrder(ctx context.Context) {
	if p, ok := ctx.Value(positionKey{}).(position); ok {
		p.conn.server.inOrderUntil.Store(time.Now().Add(inOrderTime).UnixNano())
	}
}

// inOrder reports whether the requests of a connection are to be handled one after another.
func (s *Server) inOrder(now time.Time) bool { return now.UnixNano() < s.inOrderUntil.Load() }

// withPosition returns a context for the request with the number.
func (c *conn) withPosition(number int64) context.Context {
	return context.WithValue(c.ctx, positionKey{}, position{conn: c, number: number})
}

// holdRequests keeps requests behind the one with the number from being handled until that one is answered. It returns false if one is being
// handled already.
func (c *conn) holdRequests(number int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted != number {
		return false
	}
	c.held = true
	return true
}

// awaitOrder waits while a request must not be read before the ones in front of it are answered.
func (c *conn) awaitOrder() {
	if !c.account.MayReadAhead() || c.server.inOrder(time.Now()) || c.isHeld() {
		c.waitUnread(c.lastDone())
	}
}

func (c *conn) isHeld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// accept counts a request that was read, unless the last response of the connection is being written: a request that has no
// answer must not be handled either. It waits while the requests behind another one are held.
func (c *conn) accept() (number int64, ok bool) {
	for c.isHeld() {
		c.waitUnread(c.lastDone())
		if c.ctx.Err() != nil {
			return 0, false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, false
	}
	c.unanswered.Add(1)
	c.accepted++
	return c.accepted, true
}
