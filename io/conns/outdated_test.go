package conns_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"jayshift/io/conns"
)

// TestOutdatedRequestIsNotSent checks that a request which is outdated once its connection is open sends nothing, and that
// the connection serves the next one.
func TestOutdatedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(_ int, r *http.Request) string { return okResponse(r.Header.Get(idHeader), "good") })
	p := conns.New(idHeader, maxBuffered)
	request := newRequest("1")
	request.Outdated = func() bool { return true }
	_, err := do(p, s, request)
	is.True(errors.Is(err, conns.ErrOutdated))
	is.Equal(s.requests.Load(), int64(0))
	_, err = do(p, s, newRequest("2"))
	is.NoErr(err)
	is.Equal(s.requests.Load(), int64(1))
	is.Equal(s.accepted.Load(), int64(1))
}
