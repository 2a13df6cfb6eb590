package httpd

import "jayshift/io/socket"

// takeTurn reserves the next position in the response order. The response may be written once turn is closed; done must
// be closed after it.
func (c *conn) takeTurn() (turn <-chan struct{}, done chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, done = c.prevDone, make(chan struct{})
	c.prevDone = done
	return turn, done
}

// end ends the turn of a request, which was answered or dropped.
func (c *conn) end(done chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done == c.prevDone {
		c.held = false
	}
	close(done)
}

func (c *conn) wait(turn <-chan struct{}) {
	select {
	case <-turn:
	case <-c.ctx.Done():
	}
}

// waitUnread is wait for when nothing else reads the connection, so that the caller's close is noticed meanwhile.
func (c *conn) waitUnread(turn <-chan struct{}) {
	defer socket.Watch(c.socket, c.close)()
	c.wait(turn)
}

// endWith decides whether the connection is closed after the response that is due now: if asked to, or if the server stops and
// all requests that were read are answered then.
func (c *conn) endWith(asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = asked || c.unanswered.Load() <= 1 && (c.server.DisableKeepAlives() || c.server.stopping.Load())
	return c.closing
}
