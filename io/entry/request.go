package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jayshift/core/budget"
	"jayshift/core/config"
	"jayshift/core/dedup"
	"jayshift/core/ident"
	"jayshift/core/paths"
	"jayshift/core/poison"
	"jayshift/io/socket"
)

// Request headers from callers.
const (
	deadlineHeader       = "Jayshift-Deadline-Ms"
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	maxIdempotencyKey = 200 // length in bytes
	routeSegments     = 2   // number of leading path segments that identify a route
)

// request is the state of one caller's request.
type request struct {
	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	snapshot    *config.Snapshot
	service     config.Service
	shifts      []config.Shift
	team        ident.Team
	key         ident.Key
	started     time.Time
	deadline    time.Time
	body        *body
	held        *budget.Hold // memory of the body's start
	fingerprint poison.Fingerprint
	runKey      dedup.Key
	attempts    int
	tried       map[ident.BackendServer]bool
	version     ident.Version // required version; any version if empty
	versionMove bool          // a shift moves the service to another version
	newVersion  bool          // version is the new one
	onlyVersion bool          // no other version may get the request: the move is about to end
	// outcomeKnown reports that the outcome of the running attempt was recorded as evidence.
	outcomeKnown bool
	outcome      string

	chargedAt  time.Time // when the rate limits were last charged; zero once an attempt used the charge
	mayHaveRun bool      // a backend server may have run the request
	aborted    bool      // the response to the caller was cut off
}

// idempotent reports whether the request may be run more than once, by its method or by the service's settings.
func (q *request) idempotent() bool {
	switch q.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return q.service.IdempotentAt(paths.Of(q.r.RequestURI))
}

// recorded reports whether the request's run is recorded at the keepers of its idempotency key, see package runs: it
// has such a key and is not idempotent.
func (q *request) recorded() bool {
	return q.r.Header.Get(idempotencyKeyHeader) != "" && !q.idempotent()
}

// baseContext returns the context that the request runs in. A recorded run is not canceled when its caller disconnects,
// so that its outcome is known when the caller retries.
func (q *request) baseContext() context.Context {
	if q.recorded() {
		return socket.WithConn(context.WithoutCancel(q.r.Context()), nil)
	}
	return q.r.Context()
}

// abandoned reports whether the request need not run on because its caller disconnected.
func (q *request) abandoned() bool {
	return !q.recorded() && (q.r.Context().Err() != nil || socket.CallerLeft(q.r.Context()))
}

// route returns the first routeSegments segments of the path, by which outcomes are grouped.
func (q *request) route() string {
	parts := strings.SplitN(strings.Trim(string(paths.Of(q.r.RequestURI)), "/"), "/", routeSegments+1)
	return strings.Join(parts[:min(len(parts), routeSegments)], "/")
}

// deadlineOf returns the time by which the request must have ended: the earlier of the service's deadline, which is at
// most maxRequestTime away, and the caller's.
func deadlineOf(now time.Time, r *http.Request, service config.Service, maxRequestTime time.Duration) time.Time {
	limit := config.DeadlineOf(service.Service, maxRequestTime)
	if ms, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return now.Add(limit)
}

// readStart reads the start of the body, whose buffer is charged before it is allocated.
func (q *request) readStart() ([]byte, error) {
	q.held.SetTeam(q.team)
	account := budget.AccountOf(q.r.Context())
	q.body = newBody(q.r.Body, account.BodyRead)
	account.SetReadDeadline(q.deadline)
	q.held.AwaitClient(time.Now(), account.Interrupt)
	start, err := q.body.peek(q.held, q.r.ContentLength)
	if shed := q.held.Complete(); shed != nil {
		return nil, shed
	}
	return start, err
}

// computeFingerprint reads the start of the body and hashes it with the team, method, URI and length, which determine
// what a backend server does with the request. For a recorded run it also sets the run key.
func (q *request) computeFingerprint() error {
	bodyStart, err := q.readStart()
	if err != nil {
		return err
	}
	h := sha256.New()
	for _, part := range []string{string(q.team), q.r.Method, q.r.URL.RequestURI(), strconv.FormatInt(q.r.ContentLength, 10)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(bodyStart)
	q.fingerprint = poison.Fingerprint(hex.EncodeToString(h.Sum(nil)))
	if q.recorded() {
		q.runKey = dedup.Key(string(q.team) + "\x00" + string(q.service.Name) + "\x00" + q.r.Header.Get(idempotencyKeyHeader))
	}
	return nil
}
