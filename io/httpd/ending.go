package httpd

import (
	"slices"
	"time"
)

// endingTime is the time within which the caller takes the end of a response, unless it reads slowly.
const endingTime = 50 * time.Millisecond

// isEnding reports whether the connection is about to be idle: its only response is being given to the socket.
func (c *conn) isEnding(now time.Time) bool {
	flushed := c.flushed.Load()
	return flushed > 0 && now.Sub(time.Unix(0, flushed)) < endingTime && c.unanswered.Load() == 1
}

// hasEnding reports whether a connection is about to be idle.
func (s *Server) hasEnding() bool {
	now := time.Now()
	return slices.ContainsFunc(s.openConns(), func(c *conn) bool { return c.isEnding(now) })
}
