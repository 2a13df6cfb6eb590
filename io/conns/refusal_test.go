package conns_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jayshift/io/conns"
)

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", idHeader, id)
}

// TestEarlierRefusalIsNotTakenForTheAnswer lets a server repeat an earlier refusal before it answers the next request on the
// connection, which may have the same id.
func TestEarlierRefusalIsNotTakenForTheAnswer(t *testing.T) {
	for _, id := range []string{"1", "2"} {
		t.Run("next request "+id, func(t *testing.T) {
			is := is.New(t)
			var started atomic.Pointer[server]
			s := startServer(t, func(n int, r *http.Request) string {
				switch {
				case n == 1:
					return refusal("1")
				case started.Load().accepted.Load() == 1:
					return refusal("1") + okResponse(r.Header.Get(idHeader), "ran")
				}
				return okResponse(r.Header.Get(idHeader), "ran")
			})
			started.Store(s)
			p := conns.New(idHeader, maxBuffered)
			resp, err := do(p, s, newRequest("1"))
			is.NoErr(err)
			is.Equal(resp.Status, http.StatusServiceUnavailable)
			resp, err = do(p, s, newRequest(id))
			is.NoErr(err)
			is.Equal(resp.Status, http.StatusOK)
			is.Equal(string(resp.Body), "ran")
		})
	}
}

// TestAnswerCutAtEachByteIsNoAnswer lets a server end the connection after each byte of an answer.
func TestAnswerCutAtEachByteIsNoAnswer(t *testing.T) {
	whole := map[string]string{
		"length":  okResponse("1", "whole answer"),
		"chunked": "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"empty":   "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range whole {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for cut := 1; cut < len(answer); cut++ {
				s := startServer(t, func(int, *http.Request) string { return answer[:cut] + cutMark })
				_, err := do(conns.New(idHeader, maxBuffered), s, newRequest("1"))
				if !errors.Is(err, conns.ErrBroken) {
					t.Errorf("cut after %q: error %v", answer[:cut], err)
				}
			}
			s := startServer(t, func(int, *http.Request) string { return answer + cutMark })
			_, err := do(conns.New(idHeader, maxBuffered), s, newRequest("1"))
			is.NoErr(err)
		})
	}
}
