// Package endless has servers that send bytes without end, for tests.
package endless

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Response is a response that does not end: Head, and then Repeated until the caller closes the connection.
type Response struct {
	Head, Repeated string
	Slowly         bool // Repeated once in each slowInterval
}

const (
	slowInterval = 50 * time.Millisecond
	// blockInterval paces the other responses to 2 MB a second, as a link does: at the rate of the loopback interface a hundred
	// servers take the process's processors from what is tested.
	blockInterval  = 2 * time.Millisecond
	blockBytes     = 4 << 10
	sampleInterval = 10 * time.Millisecond
	gcPercent      = 10 // of the live heap that may be garbage
)

// Forms returns responses without end by what of them does not end. The responses carry the field, a line with its line break.
func Forms(field string) map[string]Response {
	line := strings.Repeat("x", 1000)
	ok := "HTTP/1.1 200 OK\r\n" + field
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	large := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	return map[string]Response{
		"status line":            {Head: "HTTP/1.1 200 ", Repeated: line},
		"header field":           {Head: "HTTP/1.1 200 OK\r\nA: ", Repeated: line},
		"header fields":          {Head: "HTTP/1.1 200 OK\r\n", Repeated: "A: " + line + "\r\n"},
		"empty header fields":    {Head: "HTTP/1.1 200 OK\r\n", Repeated: "a:\r\n"},
		"interim responses":      {Repeated: "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n"},
		"body without a length":  {Head: ok + "\r\n", Repeated: line},
		"chunks":                 {Head: chunked, Repeated: "3e8\r\n" + line + "\r\n"},
		"chunk extension":        {Head: chunked + "5;", Repeated: line},
		"chunk extensions":       {Head: chunked, Repeated: "1;" + line + "\r\nx\r\n"},
		"trailer":                {Head: chunked + "0\r\n", Repeated: "A: " + line + "\r\n"},
		"trailer of a long body": {Head: chunked + strings.Repeat(large, 16) + "0\r\n", Repeated: "A: " + line + "\r\n"},
		"longer than told":       {Head: ok + "Content-Length: 5\r\n\r\n", Repeated: line},
		"a byte at a time":       {Head: "HTTP/1.1 200 OK\r\nA: ", Repeated: "x", Slowly: true},
	}
}

// Listen starts a server that answers each request with the response, and returns its address.
func Listen(t *testing.T, r Response) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	head := []byte(r.Head) // once, so that the measured memory is not the server's
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.write(c, head)
		}
	}()
	return l.Addr().String()
}

func (r Response) write(c net.Conn, head []byte) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := c.Write(head)
	block, interval := []byte(r.Repeated), slowInterval
	if !r.Slowly {
		block, interval = []byte(strings.Repeat(r.Repeated, 1+blockBytes/len(r.Repeated))), blockInterval
	}
	for err == nil {
		_, err = c.Write(block)
		time.Sleep(interval)
	}
}

// PeakMemory returns by how many bytes the heap grew at most while do ran, with little garbage in it.
func PeakMemory(do func()) int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before := int64(m.HeapAlloc)
	var peak atomic.Int64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var sample runtime.MemStats
			runtime.ReadMemStats(&sample)
			peak.Store(max(peak.Load(), int64(sample.HeapAlloc)-before))
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	do()
	close(done)
	<-ended
	return peak.Load()
}
