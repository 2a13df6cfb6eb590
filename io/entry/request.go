package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/once"
	"jayshift/core/poison"
)

// Headers that callers send.
const (
	deadlineHeader = "Jayshift-Deadline-Ms"
	runKeyHeader   = "Idempotency-Key"
)

const (
	maxRunKey     = 200 // characters
	routeSegments = 2   // path segments that tell routes apart
)

// request is what lives for one caller's request.
type request struct {
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	snapshot *config.Snapshot
	service  config.Service
	shifts   []config.Shift
	team     ident.Team
	key      ident.Key
	started  time.Time
	deadline time.Time
	body     *body
	print    poison.Fingerprint
	runKey   once.Key
	attempts int
	tried    map[ident.BackendServer]bool
	version  ident.Version // wanted version, empty for any
	moving   bool          // a shift moves the service to another version
	fresh    bool          // the new version was chosen
	outcome  string

	charged    time.Time // when the limits were last charged, zero once an attempt used it
	mayHaveRun bool      // some backend server may have run it
	aborted    bool      // an answer broke off after its start was passed on
}

// idempotent tells whether the request may be run again.
func (q *request) idempotent() bool {
	switch q.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return slices.ContainsFunc(q.service.IdempotentPaths, func(p string) bool { return strings.HasPrefix(q.r.URL.Path, p) })
}

// recorded tells whether the request's run is recorded at keepers.
func (q *request) recorded() bool { return q.r.Header.Get(runKeyHeader) != "" && !q.idempotent() }

// base returns the context that the request runs in. A recorded run goes on when its caller goes away,
// so that its outcome is known when the caller asks again.
func (q *request) base() context.Context {
	if q.recorded() {
		return context.WithoutCancel(q.r.Context())
	}
	return q.r.Context()
}

// abandoned tells whether the request ended because its caller went away.
func (q *request) abandoned() bool { return !q.recorded() && q.r.Context().Err() != nil }

// route names the part of the service that the request is for.
func (q *request) route() string {
	parts := strings.SplitN(strings.Trim(q.r.URL.Path, "/"), "/", routeSegments+1)
	return strings.Join(parts[:min(len(parts), routeSegments)], "/")
}

// deadlineOf returns when the request must have ended: the service's limit, the caller's when it is shorter,
// and never later than the longest time that any request may run.
func deadlineOf(now time.Time, r *http.Request, service config.Service, longest time.Duration) time.Time {
	limit := config.DeadlineOf(service.Service, longest)
	if ms, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return now.Add(limit)
}

// identify reads the start of the body and fingerprints the request by all that a backend server would see of it.
func (q *request) identify() error {
	q.body = newBody(q.r.Body)
	start, err := q.body.peek()
	if err != nil {
		return err
	}
	h := sha256.New()
	for _, part := range []string{string(q.team), q.r.Method, q.r.URL.RequestURI(), strconv.FormatInt(q.r.ContentLength, 10)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(start)
	q.print = poison.Fingerprint(hex.EncodeToString(h.Sum(nil)))
	if q.recorded() {
		q.runKey = once.Key(string(q.team) + "\x00" + string(q.service.Name) + "\x00" + q.r.Header.Get(runKeyHeader))
	}
	return nil
}
