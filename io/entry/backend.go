package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"jayshift/core/config"
	"jayshift/core/paths"
)

// backendRequest returns the request to send to the backend server: without the caller's credentials, and with the
// remaining time in milliseconds, an attempt ID and the team in its headers.
func (e *Entry) backendRequest(ctx context.Context, q *request, server config.Server) *http.Request {
	out := q.r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = server.Address
	// The path is sent as it was received, not as it is encoded anew. One that begins with two slashes would be read as a host.
	if path, _, _ := strings.Cut(paths.Origin(q.r.RequestURI), "?"); !strings.HasPrefix(path, "//") {
		out.URL.Opaque = path
	}
	out.RequestURI = ""
	out.Close = false
	stripHeaders(out.Header)
	for _, name := range []string{"Authorization", "Cookie", "Proxy-Authorization", deadlineHeader} {
		out.Header.Del(name)
	}
	deadline, _ := ctx.Deadline()
	out.Header.Set(backendDeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	out.Header.Set(attemptHeader, uuid.NewString())
	if q.team != "" {
		out.Header.Set("Jayshift-Team", string(q.team))
	}
	out.Body = nil
	if q.hasBody() || !q.idempotent() {
		// http.Transport does not resend a request automatically if the body is set, even if it is empty.
		out.Body = e.throttle(ctx, q.body.reader(), config.RegionPair{From: e.deps.Location.Region, To: server.Region})
	}
	return out
}

func (q *request) hasBody() bool { return q.r.ContentLength != 0 }

// stripHeaders removes the hop-by-hop headers.
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
