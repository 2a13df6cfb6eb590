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
	idHeader = "Request-Id"
	soon     = 2 * time.Second
)

// server answers each request with what answer returns, as raw bytes; an empty string closes the connection. The
// number counts requests over all connections.
type server struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

func serve(t *testing.T, answer func(n int, r *http.Request) string) *server {
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
			go s.run(c, answer)
		}
	}()
	return s
}

func (s *server) run(c net.Conn, answer func(n int, r *http.Request) string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		text := answer(int(s.requests.Add(1)), r)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if strings.Contains(text, "Connection: close") || strings.HasSuffix(text, "cut") {
			return
		}
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) conns.Request {
	return conns.Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h.example", Header: http.Header{idHeader: {id}}, ID: id}
}

func do(p *conns.Pool, s *server, r conns.Request) (*conns.Answer, error) {
	a, _, err := p.Do(context.Background(), s.address, r, time.Now().Add(soon))
	return a, err
}

// TestAnswers plays what a backend server may send in answer to one request, after a good first one.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		body string
		err  error
	}{
		"whole":                         {reply("2", "yes"), "yes", nil},
		"no length, ends":               {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nConnection: close\r\n\r\nyes", "yes", nil},
		"after a late answer":           {reply("1", "old") + reply("2", "yes"), "yes", nil},
		"only a late answer":            {reply("1", "old") + "cut", "", conns.ErrBroken},
		"without an id":                 {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", "", conns.ErrBroken},
		"cut in the body":               {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 9\r\n\r\ncut", "", conns.ErrBroken},
		"cut in the header":             {"HTTP/1.1 200 OK\r\ncut", "", conns.ErrBroken},
		"no answer at all":              {"", "", conns.ErrBroken},
		"not the protocol":              {"\x00\x01\x02 gibberish\r\n\r\ncut", "", conns.ErrBroken},
		"after an interim answer":       {"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("2", "yes"), "yes", nil},
		"broken chunk":                  {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcut", "", conns.ErrBroken},
		"two lengths that differ":       {"HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nyes!cut", "", conns.ErrBroken},
		"followed by a second, unasked": {reply("2", "yes") + reply("2", "again"), "yes", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(n int, r *http.Request) string {
				if n == 2 {
					return c.raw
				}
				return reply(r.Header.Get(idHeader), "good")
			})
			p := conns.New(idHeader)
			_, err := do(p, s, request("1"))
			is.NoErr(err)
			a, err := do(p, s, request("2"))
			is.True(errors.Is(err, c.err)) // the kind of failure
			if err == nil {
				is.Equal(string(a.Body), c.body)
			}
			time.Sleep(20 * time.Millisecond) // lets unasked bytes come in
			a, err = do(p, s, request("3"))
			is.NoErr(err)
			is.Equal(string(a.Body), "good") // the next request gets its own answer
		})
	}
}

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int, r *http.Request) string { return reply(r.Header.Get(idHeader), "yes") })
	p := conns.New(idHeader)
	for i := range 5 {
		_, err := do(p, s, request(fmt.Sprint(i)))
		is.NoErr(err)
	}
	is.Equal(s.accepted.Load(), int64(1))
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int, r *http.Request) string { return reply(r.Header.Get(idHeader), "yes") + "cut" })
	p := conns.New(idHeader)
	r := request("1")
	r.Careful = true
	_, err := do(p, s, r)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	_, err = do(p, s, r)
	is.NoErr(err) // a closed connection would have broken the request
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, _, err = conns.New(idHeader).Do(context.Background(), address, request("1"), time.Now().Add(soon))
	is.True(errors.Is(err, conns.ErrNotSent))
}

func TestSilentServer(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	s := serve(t, func(int, *http.Request) string { <-block; return "" })
	p := conns.New(idHeader)
	_, _, err := p.Do(context.Background(), s.address, request("1"), time.Now().Add(50*time.Millisecond))
	is.True(errors.Is(err, conns.ErrSilent))
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, leave)
	_, _, err = p.Do(ctx, s.address, request("2"), time.Now().Add(soon))
	is.True(errors.Is(err, conns.ErrSilent)) // the caller left
}

func TestBodies(t *testing.T) {
	long := strings.Repeat("x", 600<<10)
	for name, c := range map[string]struct {
		body, stream string
		length       int64
	}{
		"none":           {"", "", 0},
		"with length":    {"abc", "", 3},
		"passed on":      {"abc", long, int64(3 + len(long))},
		"in chunks":      {"abc", long, -1},
		"chunked, whole": {"abc", "", -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ int, r *http.Request) string {
				body, _ := io.ReadAll(r.Body)
				return reply(r.Header.Get(idHeader), string(body))
			})
			r := request("1")
			r.Method, r.Body, r.Length = http.MethodPost, []byte(c.body), c.length
			if c.stream != "" {
				r.Stream = strings.NewReader(c.stream)
			}
			a, err := do(conns.New(idHeader), s, r)
			is.NoErr(err)
			body := string(a.Body)
			if a.Rest != nil {
				rest, err := io.ReadAll(a.Rest)
				is.NoErr(err)
				body += string(rest)
			}
			is.True(body == c.body+c.stream) // the body came back whole
		})
	}
}
