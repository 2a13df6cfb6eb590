// Package socket tells from the socket of a connection what its reader has not got to yet: whether bytes wait there, and
// whether the other side has closed the connection behind them.
package socket

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasInput reports whether bytes have arrived that were not read yet.
func HasInput(c net.Conn) bool { return peek(c) == unreadInput }

// IsQuiet reports whether the connection is open and has nothing to read.
func IsQuiet(c net.Conn) bool { return peek(c) == noInput }

// PeerClosed reports whether the other side has closed its side of the connection or has reset it, also if bytes that it
// sent before are not read yet. It returns false for a connection that is not over TCP.
func PeerClosed(c net.Conn) bool {
	switch peek(c) {
	case atEnd:
		return true
	case unreadInput:
		return hungUp(c)
	default:
		return false
	}
}

type connKey struct{}

// WithConn returns a context for the requests of a caller's connection. With a nil connection, it returns one for requests
// that run on after their caller has left.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerLeft reports whether the connection of the context's caller was closed by the caller.
func CallerLeft(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c != nil && PeerClosed(c)
}

// state is what a socket has for its reader.
type state int

const (
	unknown state = iota
	noInput
	unreadInput
	atEnd // the other side's close or reset is all that is left to read
)

func peek(c net.Conn) state {
	found := unknown
	control(c, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			found = noInput
		case err != nil || n == 0:
			found = atEnd
		default:
			found = unreadInput
		}
	})
	return found
}

// hungUp asks for a close behind unread bytes, which only the poll system call shows.
func hungUp(c net.Conn) bool {
	closed := false
	control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// control calls f with the descriptor of a TCP connection, or of the one below TLS, unless it was closed here.
func control(c net.Conn, f func(fd int)) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
