package httpd

import (
	"net"
	"os"
	"syscall"
	"time"
)

// endAccept makes Start return.
func (s *Server) endAccept() {
	if l, ok := s.listener.(*net.TCPListener); ok && l.SetDeadline(time.Now()) == nil {
		return
	}
	_ = s.listener.Close()
}

// closeListener closes the listener after it has accepted the connections that wait in the listener's queue. Closing it
// alone would reset them, though their callers may have sent requests.
func (s *Server) closeListener() {
	var waiting []net.Conn
	if l, ok := s.listener.(*net.TCPListener); ok && l.SetDeadline(time.Time{}) == nil {
		waiting = acceptWaiting(l)
	}
	_ = s.listener.Close()
	for _, socket := range waiting {
		s.serveConn(socket)
	}
}

// acceptWaiting accepts connections until none is waiting, and then accepts no more: the listening socket is shut down in
// the same step, to leave callers no time to open another.
func acceptWaiting(l *net.TCPListener) []net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var fds []int
	_ = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == nil {
				fds = append(fds, accepted)
			} else if err != syscall.EINTR && err != syscall.ECONNABORTED {
				_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
				return
			}
		}
	})
	var sockets []net.Conn
	for _, fd := range fds {
		if socket := newSocket(fd); socket != nil {
			sockets = append(sockets, socket)
		}
	}
	return sockets
}

// newSocket returns the connection of a file descriptor, which it takes over, or nil.
func newSocket(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	socket, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return socket
}
