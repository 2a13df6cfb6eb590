package serve_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/serve"
)

// TestIdleConnectionsDoNotKeepNewCallersWaiting guards against callers that wait unaccepted until their time is over,
// because open connections on which nothing happens use up the descriptors.
func TestIdleConnectionsDoNotKeepNewCallersWaiting(t *testing.T) {
	const maxConns, callers, maxWait = 20, 60, 100 * time.Millisecond
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	release := make(chan struct{})
	running := make(chan struct{}, 1)
	s := serve.NewLimited(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			running <- struct{}{}
			<-release
		}
	}), maxConns)
	go func() { _ = s.Start(context.Background()) }()
	t.Cleanup(func() { _ = s.Close() })
	get := func(path string) error {
		client := &http.Client{Transport: &http.Transport{}} // each keeps a connection open
		response, err := client.Get("http://" + l.Addr().String() + path)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	slow := make(chan error, 1)
	go func() { slow <- get("/slow") }()
	<-running
	for range callers {
		sentAt := time.Now()
		is.NoErr(get("/fast"))
		is.True(time.Since(sentAt) < maxWait)
	}
	close(release)
	is.NoErr(<-slow) // a connection in use is not closed for new ones
}
