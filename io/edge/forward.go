package edge

import (
	"net/http"
	"strconv"
	"time"

	"jayshift/core/ident"
	"jayshift/core/paths"
	"jayshift/io/conns"
	"jayshift/io/httpd"
)

// hopByHopHeaders are the headers that apply to one connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authorization", "Content-Length", "Expect"}

// serverRequest returns the request to send to a backend server: without the caller's API key, and with the time left until
// the deadline, the team and the expected server in its headers.
func (q *request) serverRequest(server ident.BackendServer, deadline time.Time) conns.Request {
	h := q.r.Header.Clone()
	removeHopByHop(h)
	p := q.protocol
	for _, name := range p.StrippedHeaders {
		h.Del(name)
	}
	h.Set(p.Deadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	h.Set(p.ExpectedServer, string(server))
	h.Del(p.Team)
	if q.team != "" {
		h.Set(p.Team, string(q.team))
	}
	r := conns.Request{
		Method: q.r.Method, Target: paths.Origin(q.r.RequestURI), Host: q.r.Host, Header: h, Body: q.body, ID: q.id(),
		ContentLength: int64(len(q.body)), CallerLeft: q.callerLeft, AvoidStale: !q.idempotent(),
		MayStream: func() bool { return httpd.MayStream(q.ctx) }, NotBuffered: func() { httpd.RequireOrder(q.ctx) },
	}
	if q.restOfBody != nil {
		r.BodyStream, r.ContentLength = q.restOfBody, q.r.ContentLength
	}
	return r
}

// removeHopByHop removes hopByHopHeaders and the headers that are listed in the Connection header.
func removeHopByHop(h http.Header) {
	for _, fields := range h["Connection"] {
		for _, field := range splitList(fields) {
			h.Del(field)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
