package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/io/peer"
)

// serveSlowly serves a copy with a value of 200 kB in the given number of parts, with a pause after each.
func serveSlowly(t *testing.T, parts int, pause time.Duration) (address string) {
	t.Helper()
	data, err := cbor.Marshal(wire.Copy{Revision: 7, Items: []wire.Item{{Key: "k", Value: strings.Repeat("x", 200_000), Revision: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range parts {
			if r.Context().Err() != nil {
				return
			}
			_, _ = w.Write(data[i*len(data)/parts : (i+1)*len(data)/parts])
			w.(http.Flusher).Flush()
			time.Sleep(pause)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestCopyThatMakesProgressIsNotGivenUp fetches a copy that takes 3 s over a slow link, and one that stops in the middle.
func TestCopyThatMakesProgressIsNotGivenUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, err := peer.Fetch(context.Background(), serveSlowly(t, 10, 300*time.Millisecond), 0)
	is.NoErr(err)
	is.Equal(c.Revision, 7)
	started := time.Now()
	_, err = peer.Fetch(context.Background(), serveSlowly(t, 2, 5*time.Second), 0)
	is.True(err != nil)
	is.True(time.Since(started) < 2*time.Second)
}
