package edge_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestExpiredCopyIsNotUsed checks that a host refuses requests, as not run, while its copy of the store must not be used.
func TestExpiredCopyIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, good)
	is.Equal(f.send(http.MethodPost, "/write/1", "k", "").Status, http.StatusOK)
	f.expired.Store(true)
	for _, path := range []string{"/write/1", "/read/1", "/gone/1"} {
		reply := f.send(http.MethodPost, path, "k", "")
		is.Equal(reply.Status, http.StatusServiceUnavailable)
		is.True(reply.Header.Get("Retry-After") != "")
	}
	f.expired.Store(false)
	is.Equal(f.send(http.MethodPost, "/write/1", "k", "").Status, http.StatusOK)
	is.Equal(f.backends[0].ran(), 2)
}

// TestRequestIsNotSentFromACopyThatExpiresMeanwhile lets the copy expire between the selection of a server and the sending.
func TestRequestIsNotSentFromACopyThatExpiresMeanwhile(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, good, good)
	f.expiresAfter.Store(2) // looks: when the request is read, and when a server is selected
	reply := f.send(http.MethodPost, "/write/1", "k", "")
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.Equal(f.backends[0].ran()+f.backends[1].ran(), 0)
}
