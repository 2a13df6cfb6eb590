// Package depart has callers that leave right after they have sent a request, for tests.
package depart

import (
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// Send connects to the address, sends the request and closes the connection. The close arrives with the last bytes of the
// request, so whoever reads the request can know that its caller has left.
func Send(address, request string) error {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = socket.Close() }()
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return merry.Wrap(err)
	}
	var corkErr error
	if err := raw.Control(func(fd uintptr) { corkErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) }); err != nil {
		return merry.Wrap(err)
	}
	if corkErr != nil {
		return merry.Wrap(corkErr)
	}
	_, err = socket.Write([]byte(request))
	return merry.Wrap(err)
}

// Reset connects to the address, sends the request and resets the connection.
func Reset(address, request string) error {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = socket.Close() }()
	if err := socket.(*net.TCPConn).SetLinger(0); err != nil {
		return merry.Wrap(err)
	}
	_, err = socket.Write([]byte(request))
	return merry.Wrap(err)
}
