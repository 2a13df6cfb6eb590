package httpd_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/httpd"
)

const soon = 3 * time.Second

// start serves with the handler and returns the address.
func start(t *testing.T, set func(*httpd.Server), handle func(ctx context.Context, r *http.Request) *httpd.Reply) (string, *httpd.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := httpd.New(l, slog.New(slog.DiscardHandler))
	s.Handle = handle
	s.Leaving = func() bool { return false }
	s.Limits = func() httpd.Limits { return httpd.Limits{} }
	if set != nil {
		set(s)
	}
	go func() { _ = s.Start(context.Background()) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return l.Addr().String(), s
}

func text(status int, body string) *httpd.Reply {
	return &httpd.Reply{Status: status, Header: http.Header{}, Body: []byte(body), Length: int64(len(body))}
}

// echo answers with the method, the target and the body.
func echo(_ context.Context, r *http.Request) *httpd.Reply {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return &httpd.Reply{Abort: true}
	}
	return text(http.StatusOK, r.Method+" "+r.RequestURI+" "+string(body))
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(soon))
	return c, bufio.NewReader(c)
}

// read returns the status and the body of the next answer, 0 when the connection ends first.
func read(r *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// TestInput plays what callers may send on one connection, and checks the answers in order; 0 is the connection's end.
func TestInput(t *testing.T) {
	type answer struct {
		status int
		body   string
	}
	const host = "Host: h.example\r\n"
	for name, c := range map[string]struct {
		sent string
		want []answer
	}{
		"one":              {"GET /a HTTP/1.1\r\n" + host + "\r\n", []answer{{200, "GET /a "}}},
		"three at once":    {strings.Repeat("GET /a HTTP/1.1\r\n"+host+"\r\n", 3), []answer{{200, "GET /a "}, {200, "GET /a "}, {200, "GET /a "}}},
		"body with length": {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n" + host + "\r\n", []answer{{200, "POST /a abc"}, {200, "GET /b "}}},
		"body in chunks":   {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n", []answer{{200, "POST /a abc"}, {200, "GET /b "}}},
		"length and chunks: the chunks count, nothing is smuggled": {
			"POST /a HTTP/1.1\r\n" + host + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n",
			[]answer{{200, "POST /a "}, {200, "GET /b "}},
		},
		"two lengths":          {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", []answer{{400, ""}, {0, ""}}},
		"unknown coding":       {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n", []answer{{400, ""}, {0, ""}}},
		"space before a colon": {"GET /a HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc", []answer{{400, ""}, {0, ""}}},
		"no host":              {"GET /a HTTP/1.1\r\n\r\n", []answer{{400, ""}, {0, ""}}},
		"bad request line":     {"GET\r\n\r\n", []answer{{400, ""}, {0, ""}}},
		"huge header":          {"GET /a HTTP/1.1\r\n" + host + "X: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", []answer{{431, ""}, {0, ""}}},
		"announces the end":    {"GET /a HTTP/1.1\r\n" + host + "Connection: close\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n", []answer{{200, "GET /a "}, {0, ""}}},
		"old protocol":         {"GET /a HTTP/1.0\r\n" + host + "\r\n", []answer{{200, "GET /a "}, {0, ""}}},
		"broken body":          {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", []answer{{0, ""}}},
		"good, then bad":       {"GET /a HTTP/1.1\r\n" + host + "\r\nGET\r\n\r\n", []answer{{200, "GET /a "}, {400, ""}, {0, ""}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := start(t, nil, echo)
			conn, reader := dial(t, address)
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			for _, want := range c.want {
				status, body := read(reader)
				is.Equal(answer{status, body}, want)
			}
		})
	}
}

// TestOrder lets later requests end first; the answers come in the order of the requests all the same.
func TestOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, _ := start(t, nil, func(_ context.Context, r *http.Request) *httpd.Reply {
		if r.URL.Path == "/0" {
			<-release
		}
		if r.URL.Path == "/4" {
			close(release) // the last request runs while the first one does
		}
		return text(http.StatusOK, r.URL.Path)
	})
	conn, reader := dial(t, address)
	for i := range 5 {
		_, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	for i := range 5 {
		status, body := read(reader)
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// TestCallerLeaves checks that requests are told, also with further ones sent behind.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{}, 2)
	running := make(chan struct{}, 2)
	address, _ := start(t, nil, func(ctx context.Context, _ *http.Request) *httpd.Reply {
		running <- struct{}{}
		<-ctx.Done()
		left <- struct{}{}
		return text(http.StatusOK, "")
	})
	conn, _ := dial(t, address)
	_, err := io.WriteString(conn, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	is.NoErr(err)
	for range 2 {
		<-running
	}
	is.NoErr(conn.Close())
	for range 2 {
		select {
		case <-left:
		case <-time.After(soon):
			t.Fatal("a request was not told that its caller left")
		}
	}
}

// TestBrokenAnswer lets the rest of an answer fail: the connection ends, so that the answer does not look whole.
func TestBrokenAnswer(t *testing.T) {
	for _, length := range []int64{100, -1} {
		is := is.New(t)
		address, _ := start(t, nil, func(context.Context, *http.Request) *httpd.Reply {
			rest := io.NopCloser(io.MultiReader(strings.NewReader("more"), failing{}))
			return &httpd.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("start"), Rest: rest, Length: length}
		})
		conn, reader := dial(t, address)
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		status, _ := read(reader)
		is.Equal(status, 0)
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("broken off") }

// TestStop answers what runs, says that the connection ends, and takes nothing more.
func TestStop(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	address, s := start(t, nil, func(context.Context, *http.Request) *httpd.Reply {
		close(running)
		<-release
		return text(http.StatusOK, "done")
	})
	idle, idleReader := dial(t, address)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		defer cancel()
		stopped <- s.Stop(ctx)
	}()
	_, err = idleReader.ReadByte()
	is.True(err != nil) // an idle connection is closed
	_ = idle
	close(release)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(response.Close)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
	is.NoErr(<-stopped)
	_, err = net.Dial("tcp", address)
	is.True(err != nil)
}

// TestContinue sends the body only once the server asks for it.
func TestContinue(t *testing.T) {
	is := is.New(t)
	address, _ := start(t, nil, echo)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	is.NoErr(err)
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(strings.TrimSpace(line), "HTTP/1.1 100 Continue")
	_, _ = reader.ReadString('\n')
	_, err = io.WriteString(conn, "abc")
	is.NoErr(err)
	status, body := read(reader)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "POST /a abc")
}

// TestSlowHeader holds a caller to the time for its header.
func TestSlowHeader(t *testing.T) {
	is := is.New(t)
	address, _ := start(t, func(s *httpd.Server) {
		s.Limits = func() httpd.Limits { return httpd.Limits{HeaderTime: 50 * time.Millisecond} }
	}, echo)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost:")
	is.NoErr(err)
	status, _ := read(reader)
	is.Equal(status, http.StatusRequestTimeout)
}
