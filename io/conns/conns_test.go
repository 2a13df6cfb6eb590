package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/conns"
)

const (
	idHeader    = "Request-Id"
	testTimeout = 2 * time.Second
)

// server writes what respond returns for each request, as raw bytes. An empty string closes the connection. respond gets
// the number of the request, counted over all connections from 1.
type server struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

func startServer(t *testing.T, respond func(n int, r *http.Request) string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.handleConn(c, respond)
		}
	}()
	return s
}

func (s *server) handleConn(c net.Conn, respond func(n int, r *http.Request) string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		raw := respond(int(s.requests.Add(1)), r)
		if raw == "" {
			return
		}
		if _, err := io.WriteString(c, raw); err != nil {
			return
		}
		if strings.Contains(raw, "Connection: close") || strings.HasSuffix(raw, "cut") {
			return
		}
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newRequest(id string) conns.Request {
	return conns.Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h.example", Header: http.Header{idHeader: {id}}, ID: id}
}

func do(p *conns.Pool, s *server, r conns.Request) (*conns.Response, error) {
	resp, _, err := p.Do(context.Background(), s.address, r, time.Now().Add(testTimeout))
	return resp, err
}

// TestAnswers sends the raw bytes of each case in response to the second request on a connection, and checks its result
// and that the third request still gets its own response.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		body string
		err  error
	}{
		"complete":                            {okResponse("2", "yes"), "yes", nil},
		"no length, closed":                   {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nConnection: close\r\n\r\nyes", "yes", nil},
		"after a late response":               {okResponse("1", "old") + okResponse("2", "yes"), "yes", nil},
		"only a late response":                {okResponse("1", "old") + "cut", "", conns.ErrBroken},
		"without an id":                       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", "", conns.ErrBroken},
		"cut in the body":                     {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 9\r\n\r\ncut", "", conns.ErrBroken},
		"cut in the header":                   {"HTTP/1.1 200 OK\r\ncut", "", conns.ErrBroken},
		"no response":                         {"", "", conns.ErrBroken},
		"not HTTP":                            {"\x00\x01\x02 gibberish\r\n\r\ncut", "", conns.ErrBroken},
		"after an interim response":           {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("2", "yes"), "yes", nil},
		"broken chunk":                        {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcut", "", conns.ErrBroken},
		"two lengths that differ":             {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nyes!cut", "", conns.ErrBroken},
		"followed by an unsolicited response": {okResponse("2", "yes") + okResponse("2", "again"), "yes", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(n int, r *http.Request) string {
				if n == 2 {
					return c.raw
				}
				return okResponse(r.Header.Get(idHeader), "good")
			})
			p := conns.New(idHeader)
			_, err := do(p, s, newRequest("1"))
			is.NoErr(err)
			resp, err := do(p, s, newRequest("2"))
			is.True(errors.Is(err, c.err)) // kind of error
			if err == nil {
				is.Equal(string(resp.Body), c.body)
			}
			time.Sleep(20 * time.Millisecond) // until unsolicited bytes have arrived
			resp, err = do(p, s, newRequest("3"))
			is.NoErr(err)
			is.Equal(string(resp.Body), "good") // the next request gets its own response
		})
	}
}

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(_ int, r *http.Request) string { return okResponse(r.Header.Get(idHeader), "yes") })
	p := conns.New(idHeader)
	for i := range 5 {
		_, err := do(p, s, newRequest(fmt.Sprint(i)))
		is.NoErr(err)
	}
	is.Equal(s.accepted.Load(), int64(1))
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(_ int, r *http.Request) string { return okResponse(r.Header.Get(idHeader), "yes") + "cut" })
	p := conns.New(idHeader)
	r := newRequest("1")
	r.AvoidStale = true
	_, err := do(p, s, r)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	_, err = do(p, s, r)
	is.NoErr(err) // a request on the closed connection would have failed
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, _, err = conns.New(idHeader).Do(context.Background(), address, newRequest("1"), time.Now().Add(testTimeout))
	is.True(errors.Is(err, conns.ErrNotSent))
}

func TestServerTimeout(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	s := startServer(t, func(int, *http.Request) string { <-block; return "" })
	p := conns.New(idHeader)
	_, _, err := p.Do(context.Background(), s.address, newRequest("1"), time.Now().Add(50*time.Millisecond))
	is.True(errors.Is(err, conns.ErrTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, _, err = p.Do(ctx, s.address, newRequest("2"), time.Now().Add(testTimeout))
	is.True(errors.Is(err, conns.ErrTimeout)) // canceled by the caller
}

func TestBodies(t *testing.T) {
	long := strings.Repeat("x", 600<<10)
	for name, c := range map[string]struct {
		body, stream string
		length       int64
	}{
		"none":               {"", "", 0},
		"with length":        {"abc", "", 3},
		"streamed":           {"abc", long, int64(3 + len(long))},
		"chunked":            {"abc", long, -1},
		"chunked, no stream": {"abc", "", -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(_ int, r *http.Request) string {
				body, _ := io.ReadAll(r.Body)
				return okResponse(r.Header.Get(idHeader), string(body))
			})
			r := newRequest("1")
			r.Method, r.Body, r.ContentLength = http.MethodPost, []byte(c.body), c.length
			if c.stream != "" {
				r.BodyStream = strings.NewReader(c.stream)
			}
			resp, err := do(conns.New(idHeader), s, r)
			is.NoErr(err)
			body := string(resp.Body)
			if resp.BodyStream != nil {
				rest, err := io.ReadAll(resp.BodyStream)
				is.NoErr(err)
				body += string(rest)
			}
			is.True(body == c.body+c.stream) // the complete body was echoed
		})
	}
}
