package socket_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/socket"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func TestState(t *testing.T) {
	write := func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }
	for name, c := range map[string]struct {
		there                   []func(*net.TCPConn)
		hasInput, quiet, closed bool
	}{
		"open":                 {nil, false, true, false},
		"bytes":                {[]func(*net.TCPConn){write}, true, false, false},
		"closed":               {[]func(*net.TCPConn){func(c *net.TCPConn) { _ = c.Close() }}, false, false, true},
		"half closed":          {[]func(*net.TCPConn){func(c *net.TCPConn) { _ = c.CloseWrite() }}, false, false, true},
		"reset":                {[]func(*net.TCPConn){func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }}, false, false, true},
		"closed behind bytes":  {[]func(*net.TCPConn){write, func(c *net.TCPConn) { _ = c.Close() }}, true, false, true},
		"bytes, still waiting": {[]func(*net.TCPConn){write, write}, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			here, there := pair(t)
			for _, step := range c.there {
				step(there)
			}
			time.Sleep(20 * time.Millisecond)
			is.Equal(socket.HasInput(here), c.hasInput)
			is.Equal(socket.IsQuiet(here), c.quiet)
			is.Equal(socket.PeerClosed(here), c.closed)
			is.Equal(socket.CallerLeft(socket.WithConn(context.Background(), here)), c.closed)
		})
	}
}

// TestNoConnection checks that nothing is said of a connection that is unknown, not over TCP or closed here.
func TestNoConnection(t *testing.T) {
	is := is.New(t)
	is.True(!socket.CallerLeft(context.Background()))
	is.True(!socket.CallerLeft(socket.WithConn(context.Background(), nil)))
	a, b := net.Pipe()
	is.NoErr(b.Close())
	is.True(!socket.PeerClosed(a))
	here, _ := pair(t)
	is.NoErr(here.Close())
	is.True(!socket.PeerClosed(here))
}

// TestWatch checks that a close is noticed behind unread bytes, and not after the watch was stopped.
func TestWatch(t *testing.T) {
	is := is.New(t)
	here, there := pair(t)
	_, err := there.Write([]byte("x"))
	is.NoErr(err)
	left, ignored := make(chan struct{}), make(chan struct{})
	stop := socket.Watch(here, func() { close(left) })
	defer stop()
	socket.Watch(here, func() { close(ignored) })()
	is.NoErr(there.Close())
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the close was not noticed in time")
	}
	select {
	case <-ignored:
		t.Fatal("a stopped watch was called")
	case <-time.After(300 * time.Millisecond):
	}
}
