package crowd

import (
	"net"
	"time"
)

// client is one client of a crowd.
type client struct {
	conn net.Conn
	door Door
	stop <-chan struct{}
	sent int
}

// send writes the text and reports whether the client may go on.
func (c *client) send(text string) bool {
	select {
	case <-c.stop:
		return false
	default:
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.conn.Write([]byte(text))
	c.sent += n
	return err == nil && c.sent < longestClient
}

// sendSlowly writes the text a byte at a time.
func (c *client) sendSlowly(text string) {
	for i := range text {
		if !c.send(text[i:i+1]) || !c.pause() {
			return
		}
	}
}

// readSlowly reads a byte at a time.
func (c *client) readSlowly() {
	var b [1]byte
	for c.pause() {
		if _, err := c.conn.Read(b[:]); err != nil {
			return
		}
	}
}

func (c *client) pause() bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(slowInterval):
		return true
	}
}

// head returns a request head with the fields in front of those of the door.
func (c *client) head(method, fields string) string {
	return method + " " + c.door.Path + " HTTP/1.1\r\n" + c.door.Header + fields + "\r\n"
}
