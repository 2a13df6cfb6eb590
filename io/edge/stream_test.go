package edge_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/io/httpd"
)

// largeBody is longer than the part of a response body that is buffered before the reply.
var largeBody = strings.Repeat("0123456789abcdef", 64<<10)

// sendsLarge returns a handler that responds with largeBody and pauses in the middle of it. Without a length, the body is
// chunked.
func sendsLarge(withLength bool, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(protocol.Signature, "s")
		if withLength {
			w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
		}
		half := len(largeBody) / 2
		_, _ = io.WriteString(w, largeBody[:half])
		w.(http.Flusher).Flush()
		time.Sleep(pause)
		_, _ = io.WriteString(w, largeBody[half:])
	}
}

// cutsLarge declares the length of largeBody, sends half of it and closes the connection.
func cutsLarge(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(protocol.Signature, "s")
	w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
	_, _ = io.WriteString(w, largeBody[:len(largeBody)/2])
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// readAll returns the whole body of a response as the caller's connection would send it.
func readAll(r *httpd.Response) (string, error) {
	body := string(r.Body)
	if r.BodyStream == nil {
		return body, nil
	}
	defer func() { _ = r.BodyStream.Close() }()
	rest, err := io.ReadAll(r.BodyStream)
	return body + string(rest), err
}

// TestLargeResponses checks that a response that is still being received when the reply is chosen reaches the caller
// whole: canceling the attempts of a request must not cut the response that was chosen.
func TestLargeResponses(t *testing.T) {
	const pause = 60 * time.Millisecond
	for name, c := range map[string]struct {
		path     string
		handlers []http.HandlerFunc
		wait     time.Duration // between the reply and reading its body, as with a slow caller
	}{
		"with a length":               {"/read/1", []http.HandlerFunc{sendsLarge(true, pause)}, 0},
		"chunked":                     {"/read/1", []http.HandlerFunc{sendsLarge(false, pause)}, 0},
		"not idempotent":              {"/write/1", []http.HandlerFunc{sendsLarge(true, pause)}, 0},
		"slow caller":                 {"/read/1", []http.HandlerFunc{sendsLarge(true, pause)}, 3 * pause},
		"caller slower than the time": {"/read/1", []http.HandlerFunc{sendsLarge(true, pause)}, timeout},
		"after a failed attempt":      {"/read/1", []http.HandlerFunc{breaks, sendsLarge(true, pause)}, 0},
		"hedged":                      {"/read/1", []http.HandlerFunc{silent, sendsLarge(true, pause)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.handlers...)
			resp := f.send(http.MethodGet, c.path, "k", "")
			is.Equal(resp.Status, http.StatusOK)
			time.Sleep(c.wait)
			body, err := readAll(resp)
			is.NoErr(err)
			is.Equal(len(body), len(largeBody))
			is.True(body == largeBody) // the bytes are those of the server
		})
	}
}

// TestLargeResponseCut checks that a response that the server cuts does not look complete to the caller.
func TestLargeResponseCut(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, cutsLarge)
	body, err := readAll(f.send(http.MethodGet, "/read/1", "k", ""))
	is.True(err != nil)
	is.True(strings.HasPrefix(largeBody, body))
}

// TestLargeResponseHead checks that the response to a HEAD request states the length of the body and has none.
func TestLargeResponseHead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(protocol.Signature, "s")
		w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
	})
	resp := f.send(http.MethodHead, "/read/1", "k", "")
	is.Equal(resp.Status, http.StatusOK)
	is.Equal(resp.ContentLength, int64(len(largeBody)))
	is.Equal(len(resp.Body), 0)
	is.True(resp.BodyStream == nil)
}

// TestLargeResponseCallerLeaves checks that a server stops sending a response when the caller has left.
func TestLargeResponseCallerLeaves(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(stopped)
		w.Header().Set(protocol.Signature, "s")
		for {
			if _, err := io.WriteString(w, largeBody); err != nil {
				return
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp := f.sendWith(ctx, http.MethodGet, "/read/1", "k", "")
	is.Equal(resp.Status, http.StatusOK)
	cancel()
	select {
	case <-stopped:
	case <-time.After(timeout):
		t.Fatal("the server is still sending to a caller who has left")
	}
}
