package httpd_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/httpd"
)

// TestLeavingIsNoticedBehindUnreadBytes guards against requests that run on for a caller that has left, because bytes that
// it sent before are not read yet.
func TestLeavingIsNoticedBehindUnreadBytes(t *testing.T) {
	const leftFor = 500 * time.Millisecond // as long as a request may run on for a caller that has left
	get := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		sent    string
		running int // requests that the server handles at once
	}{
		"more requests than run at once": {strings.Repeat(get, 20), 16},
		"body that is not read":          {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", 1},
		"bytes after the last request":   {"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get, 1},
		"start of another request":       {get + "GET /b HT", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			running, canceled := make(chan struct{}, 20), make(chan struct{}, 20)
			address, _ := startServer(t, nil, func(ctx context.Context, _ *http.Request) *httpd.Response {
				running <- struct{}{}
				select {
				case <-ctx.Done():
					canceled <- struct{}{}
				case <-time.After(testTimeout):
				}
				return textResponse(http.StatusOK, "")
			})
			conn, _ := dial(t, address)
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			for range c.running {
				<-running
			}
			is.NoErr(conn.Close())
			deadline := time.After(leftFor)
			for range c.running {
				select {
				case <-canceled:
				case <-deadline:
					t.Fatal("a request was not canceled in time")
				}
			}
		})
	}
}
