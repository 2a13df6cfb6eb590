package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"jayshift/core/config"
)

// outgoing builds the request that the backend server sees: without the caller's key, with the time that is left.
func (e *Entry) outgoing(ctx context.Context, q *request, server config.Server) *http.Request {
	out := q.r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = server.Address
	out.RequestURI = ""
	out.Close = false
	stripHeaders(out.Header)
	for _, name := range []string{"Authorization", "Cookie", "Proxy-Authorization", deadlineHeader} {
		out.Header.Del(name)
	}
	deadline, _ := ctx.Deadline()
	out.Header.Set(backendDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	out.Header.Set(attemptHeader, uuid.NewString())
	if q.team != "" {
		out.Header.Set("Jayshift-Team", string(q.team))
	}
	out.Body = nil
	if q.hasBody() || !q.idempotent() {
		// A body that is set, even when it is empty, keeps the transport from sending the request twice by itself.
		out.Body = e.paced(ctx, q.body.reader(), config.RegionPair{From: e.seams.Place.Region, To: server.Region})
	}
	return out
}

func (q *request) hasBody() bool { return q.r.ContentLength != 0 }

// stripHeaders removes the fields that hold for one connection only.
func stripHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		h.Del(field)
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		h.Del(name)
	}
}
