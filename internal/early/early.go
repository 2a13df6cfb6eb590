// Package early is a stand-in for servers that respond before they have read the request body, for tests.
package early

import (
	"io"
	"net"
	"testing"
	"time"
)

const readSize = 4096 // bytes of the request that are read before the response

// Listen starts a server that sends the response, waits for pause and ends the connection: by a reset if reset is set, otherwise in order.
// It returns the server's address.
func Listen(t *testing.T, response string, pause time.Duration, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, readSize))
			_, _ = io.WriteString(c, response)
			time.Sleep(pause)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Upload is a request body that is sent for as long as the server reads it.
type Upload struct{}

// Read implements io.Reader.
func (Upload) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(b), nil
}
