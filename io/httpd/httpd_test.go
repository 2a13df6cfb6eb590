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

const testTimeout = 3 * time.Second

type handler = func(ctx context.Context, r *http.Request) *httpd.Response

// startServer starts a server with the handler and returns its address.
func startServer(t *testing.T, configure func(*httpd.Server), handle handler) (string, *httpd.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, l, configure, handle)
}

// serveOn starts a server on the listener.
func serveOn(t *testing.T, l net.Listener, configure func(*httpd.Server), handle handler) (string, *httpd.Server) {
	t.Helper()
	s := httpd.New(l, slog.New(slog.DiscardHandler))
	s.Handle = handle
	s.DisableKeepAlives = func() bool { return false }
	s.Limits = func() httpd.Limits { return httpd.Limits{} }
	if configure != nil {
		configure(s)
	}
	go func() { _ = s.Start(context.Background()) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return l.Addr().String(), s
}

func textResponse(status int, body string) *httpd.Response {
	return &httpd.Response{Status: status, Header: http.Header{}, Body: []byte(body), ContentLength: int64(len(body))}
}

// echo responds with the method, the request target and the body.
func echo(_ context.Context, r *http.Request) *httpd.Response {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return &httpd.Response{Abort: true}
	}
	return textResponse(http.StatusOK, r.Method+" "+r.RequestURI+" "+string(body))
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// readResponse returns the status and body of the next response, or status 0 if the connection ends first.
func readResponse(r *bufio.Reader) (int, string) {
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

// TestInput sends valid and malformed requests on one connection and checks the responses in order. Status 0 means that
// the connection ends.
func TestInput(t *testing.T) {
	type result struct {
		status int
		body   string
	}
	const host = "Host: h.example\r\n"
	for name, c := range map[string]struct {
		sent string
		want []result
	}{
		"one request":              {"GET /a HTTP/1.1\r\n" + host + "\r\n", []result{{200, "GET /a "}}},
		"three pipelined requests": {strings.Repeat("GET /a HTTP/1.1\r\n"+host+"\r\n", 3), []result{{200, "GET /a "}, {200, "GET /a "}, {200, "GET /a "}}},
		"body with length":         {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n" + host + "\r\n", []result{{200, "POST /a abc"}, {200, "GET /b "}}},
		"chunked body":             {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n", []result{{200, "POST /a abc"}, {200, "GET /b "}}},
		"length and chunked: chunked wins, no request smuggling": {
			"POST /a HTTP/1.1\r\n" + host + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n",
			[]result{{200, "POST /a "}, {200, "GET /b "}},
		},
		"two lengths":               {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", []result{{400, ""}, {0, ""}}},
		"unknown transfer encoding": {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n", []result{{400, ""}, {0, ""}}},
		"space before a colon":      {"GET /a HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc", []result{{400, ""}, {0, ""}}},
		"no host":                   {"GET /a HTTP/1.1\r\n\r\n", []result{{400, ""}, {0, ""}}},
		"bad request line":          {"GET\r\n\r\n", []result{{400, ""}, {0, ""}}},
		"huge header":               {"GET /a HTTP/1.1\r\n" + host + "X: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", []result{{431, ""}, {0, ""}}},
		"connection close":          {"GET /a HTTP/1.1\r\n" + host + "Connection: close\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n", []result{{200, "GET /a "}, {0, ""}}},
		"HTTP/1.0":                  {"GET /a HTTP/1.0\r\n" + host + "\r\n", []result{{200, "GET /a "}, {0, ""}}},
		"broken body":               {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", []result{{0, ""}}},
		"valid, then malformed":     {"GET /a HTTP/1.1\r\n" + host + "\r\nGET\r\n\r\n", []result{{200, "GET /a "}, {400, ""}, {0, ""}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startServer(t, nil, echo)
			conn, reader := dial(t, address)
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			for _, want := range c.want {
				status, body := readResponse(reader)
				is.Equal(result{status, body}, want)
			}
		})
	}
}

// TestOrder checks that responses are sent in the order of the requests, even when later requests finish first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, _ := startServer(t, nil, func(_ context.Context, r *http.Request) *httpd.Response {
		if r.URL.Path == "/0" {
			<-release
		}
		if r.URL.Path == "/4" {
			close(release) // requires that the last request runs concurrently with the first
		}
		return textResponse(http.StatusOK, r.URL.Path)
	})
	conn, reader := dial(t, address)
	for i := range 5 {
		_, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	for i := range 5 {
		status, body := readResponse(reader)
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// TestCallerLeaves checks that the contexts of all pipelined requests are canceled when the caller disconnects.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{}, 2)
	running := make(chan struct{}, 2)
	address, _ := startServer(t, nil, func(ctx context.Context, _ *http.Request) *httpd.Response {
		running <- struct{}{}
		<-ctx.Done()
		canceled <- struct{}{}
		return textResponse(http.StatusOK, "")
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
		case <-canceled:
		case <-time.After(testTimeout):
			t.Fatal("a request's context was not canceled after its caller disconnected")
		}
	}
}

// TestBrokenAnswer checks that the caller detects a truncated response when the response body fails, both with a known
// length and in chunked encoding.
func TestBrokenAnswer(t *testing.T) {
	for _, length := range []int64{100, -1} {
		is := is.New(t)
		address, _ := startServer(t, nil, func(context.Context, *http.Request) *httpd.Response {
			rest := io.NopCloser(io.MultiReader(strings.NewReader("more"), failingReader{}))
			return &httpd.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("start"), BodyStream: rest, ContentLength: length}
		})
		conn, reader := dial(t, address)
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		status, _ := readResponse(reader)
		is.Equal(status, 0)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("read failed") }

// TestStop checks that Stop closes idle connections, lets running requests finish with Connection: close, and accepts no
// further connections.
func TestStop(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	address, s := startServer(t, nil, func(context.Context, *http.Request) *httpd.Response {
		close(running)
		<-release
		return textResponse(http.StatusOK, "done")
	})
	idle, idleReader := dial(t, address)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// TestContinue checks that the server sends 100 Continue before it reads the body of a request that expects it.
func TestContinue(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, nil, echo)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	is.NoErr(err)
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(strings.TrimSpace(line), "HTTP/1.1 100 Continue")
	_, _ = reader.ReadString('\n')
	_, err = io.WriteString(conn, "abc")
	is.NoErr(err)
	status, body := readResponse(reader)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "POST /a abc")
}

// TestSlowHeader checks that a request is rejected when its header is not complete within HeaderTimeout.
func TestSlowHeader(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(s *httpd.Server) {
		s.Limits = func() httpd.Limits { return httpd.Limits{HeaderTimeout: 50 * time.Millisecond} }
	}, echo)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost:")
	is.NoErr(err)
	status, _ := readResponse(reader)
	is.Equal(status, http.StatusRequestTimeout)
}
