package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/httpd"
)

// TestStopAnswersOpenedConnections stops a server right after callers have opened connections. Their requests are answered,
// whether the connection was accepted already or the request was sent already.
func TestStopAnswersOpenedConnections(t *testing.T) {
	const callers, rounds = 60, 20
	for range rounds {
		is := is.New(t)
		address, s := startServer(t, nil, func(ctx context.Context, r *http.Request) *httpd.Response {
			time.Sleep(time.Millisecond)
			return echo(ctx, r)
		})
		var answered atomic.Int64
		var opened, ended sync.WaitGroup
		opened.Add(callers)
		for i := range callers {
			ended.Go(func() {
				c, err := net.Dial("tcp", address)
				opened.Done()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				time.Sleep(time.Duration(i%4) * 10 * time.Millisecond)
				_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
				_ = c.SetReadDeadline(time.Now().Add(testTimeout))
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		opened.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		is.NoErr(s.Stop(ctx))
		cancel()
		ended.Wait()
		is.Equal(answered.Load(), int64(callers))
	}
}

// TestStopUnderLoad stops a server while callers open connections and send one request on each. A caller whose connection
// was accepted gets an answer: a refused connection is the only failure that a planned stop may cause.
func TestStopUnderLoad(t *testing.T) {
	const (
		callers   = 40
		rounds    = 5
		sendDelay = 5 * time.Millisecond // between a caller's connection and its request
	)
	for range rounds {
		is := is.New(t)
		address, s := startServer(t, nil, func(ctx context.Context, r *http.Request) *httpd.Response {
			time.Sleep(time.Millisecond)
			return echo(ctx, r)
		})
		var answered, cut atomic.Int64
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for {
					c, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					if i%2 == 0 {
						time.Sleep(sendDelay)
					}
					_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", i)
					_ = c.SetReadDeadline(time.Now().Add(testTimeout))
					answer, _ := io.ReadAll(c)
					_ = c.Close()
					if len(answer) == 0 {
						cut.Add(1)
						continue
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		is.NoErr(s.Stop(ctx))
		cancel()
		wg.Wait()
		t.Logf("%d answered, %d cut", answered.Load(), cut.Load())
		is.True(answered.Load() > 0)
		is.Equal(cut.Load(), int64(0))
	}
}

// TestPanicEndsOneRequest checks that a handler that panics costs its own request only.
func TestPanicEndsOneRequest(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, nil, func(ctx context.Context, r *http.Request) *httpd.Response {
		if r.URL.Path == "/panic" {
			panic("malformed")
		}
		return echo(ctx, r)
	})
	_, err := http.Get("http://" + address + "/panic")
	is.True(err != nil) // the connection ends without an answer
	resp, err := http.Get("http://" + address + "/next")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())
}
