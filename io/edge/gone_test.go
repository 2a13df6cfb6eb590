package edge_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/internal/depart"
	"jayshift/io/httpd"
)

// callers is the number of callers that leave in a test.
const callers = 40

// quietTime is how long a test waits for requests that must not reach a server.
const quietTime = 200 * time.Millisecond

// TestNotSentOnForCallersThatLeft guards against requests that reach a server though their callers had left before.
func TestNotSentOnForCallersThatLeft(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: h\r\nKey: k\r\n"
	get := "GET /read/1" + head + "Request-Id: i\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		leave   func(address, request string) error
	}{
		"read":                  {get, depart.Send},
		"reset":                 {get, depart.Reset},
		"write with a body":     {"POST /write/1" + head + "Request-Id: i\r\nContent-Length: 3\r\n\r\nabc", depart.Send},
		"chunked body":          {"POST /write/1" + head + "Request-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", depart.Send},
		"last of a connection":  {"GET /read/1" + head + "Request-Id: i\r\nConnection: close\r\n\r\n", depart.Send},
		"sent before an answer": {strings.Repeat(get, 3), depart.Send},
		"bytes after the last":  {"GET /read/1" + head + "Request-Id: i\r\nConnection: close\r\n\r\nGET", depart.Send},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, slowGood)
			openServerConnections(f)
			before := f.backends[0].ran()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			for range callers {
				is.NoErr(c.leave(l.Addr().String(), c.request))
			}
			serveLate(t, f, l)
			time.Sleep(quietTime)
			is.Equal(f.backends[0].ran(), before)
		})
	}
}

func slowGood(w http.ResponseWriter, r *http.Request) {
	time.Sleep(10 * time.Millisecond)
	good(w, r)
}

// openServerConnections leaves idle connections to the server, on which a request can be sent at once.
func openServerConnections(f *fixture) {
	var sent sync.WaitGroup
	for range 4 {
		sent.Go(func() { f.send(http.MethodGet, "/read/1", "k", "") })
	}
	sent.Wait()
}

// serveLate serves the callers that wait in the listener's queue.
func serveLate(t *testing.T, f *fixture, l net.Listener) *httpd.Server {
	t.Helper()
	s := httpd.New(l, slog.New(slog.DiscardHandler))
	s.Handle = f.edge.Serve
	s.DisableKeepAlives = func() bool { return false }
	s.Limits = func() httpd.Limits { return httpd.Limits{} }
	go func() { _ = s.Start(context.Background()) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s
}

// TestCallersThatStayAreServedFromTheQueue checks that waiting in the listener's queue alone ends no request.
func TestCallersThatStayAreServedFromTheQueue(t *testing.T) {
	is := is.New(t)
	const callers = 4 // as many as the server has slots
	f := newFixture(t, good)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: i\r\n\r\n")
		is.NoErr(err)
	}
	serveLate(t, f, l)
	deadline := time.Now().Add(5 * time.Second)
	for f.backends[0].ran() < callers && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(f.backends[0].ran(), callers)
}
