package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/table"
)

const (
	keptRequestBody = 1 << 20 // bytes; longer bodies are passed on while they come, and not sent twice
	assumedAnswer   = 5000.0  // bytes, when the way of an answer is weighed
	defaultWait     = 10 * time.Second
	loadingAfter    = 300 * time.Millisecond
	poisonAfter     = 10 * time.Second
)

// request is what lives for one attempt of a caller.
type request struct {
	dialect  *Dialect
	r        *http.Request
	ctx      context.Context
	started  time.Time
	deadline time.Time // no answer is of use after it
	table    *table.Table
	route    *table.Route
	team     ident.Team
	teamed   *table.Team
	service  ident.Service
	version  ident.Version
	body     []byte
	stream   io.Reader // what follows the body that was kept, nil for none
	print    poison.Fingerprint

	running int // tries that have not ended
	sent    int // tries that may have reached a backend server
	unsent  int // tries that did not
	mayRun  bool
	tried   []ident.BackendServer
	servers []ident.BackendServer // that it was sent to, for the log
}

func newRequest(ctx context.Context, d *Dialect, r *http.Request, now time.Time) *request {
	return &request{dialect: d, r: r, ctx: ctx, started: now, deadline: now.Add(defaultWait)}
}

func (q *request) id() string { return q.r.Header.Get(q.dialect.RequestID) }

func (q *request) idempotent() bool { return q.route.Idempotent() }

// replayable tells whether the request can be sent again as a whole.
func (q *request) replayable() bool { return q.stream == nil }

// admit finds the route and the team of the request, or why it is refused.
func (e *Edge) admit(q *request) *reply {
	q.table = e.seams.Table()
	if q.table == nil {
		return refusal(outcomeLoading, http.StatusServiceUnavailable, loadingAfter)
	}
	var ok bool
	if q.route, ok = q.table.Route(hostName(q.r.Host), q.r.URL.Path); !ok {
		return final(outcomeNoRoute, http.StatusNotFound)
	}
	if problem := q.findTeam(); problem != nil {
		return problem
	}
	q.limit()
	q.service = e.splits.next(q.route)
	if q.table.Limits.MaxBodyBytes > 0 && q.r.ContentLength > q.table.Limits.MaxBodyBytes {
		return final(outcomeTooLarge, http.StatusRequestEntityTooLarge)
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// findTeam checks the caller's key. On open routes a key is not needed, but a known one still names its team.
func (q *request) findTeam() *reply {
	if !q.table.RequiresKey() {
		return nil
	}
	team, ok := q.table.TeamByKey(q.dialect.Key(q.r.Header))
	if ok {
		q.team, q.teamed = team.Name, team
		return nil
	}
	if q.route.Open {
		return nil
	}
	return final(outcomeKey, http.StatusUnauthorized)
}

// limit works out until when an answer is of use: the caller's word or the route's, whichever is sooner.
func (q *request) limit() {
	if q.route.Timeout > 0 {
		q.deadline = q.started.Add(q.route.Timeout)
	}
	if ms, err := strconv.ParseInt(q.r.Header.Get(q.dialect.Deadline), 10, 32); err == nil && ms > 0 {
		if deadline := q.started.Add(time.Duration(ms) * time.Millisecond); deadline.Before(q.deadline) {
			q.deadline = deadline
		}
	}
}

func (q *request) rank() int {
	if q.teamed != nil && q.teamed.Priority != nil {
		return *q.teamed.Priority
	}
	return q.route.Priority
}

// query states what the request asks of a backend server.
func (q *request) query() place.Query {
	homes, limited := table.AllowedRegions(q.route, q.teamed)
	query := place.Query{
		Service: q.service, Version: q.version, Route: q.route.Name, LatencyTarget: q.route.LatencyTarget, Started: q.started, Priority: q.rank(),
		Bytes: float64(max(q.r.ContentLength, 0)) + assumedAnswer, Deadline: q.deadline,
		AllowedRegions: homes, Restricted: limited, Attempted: q.tried,
	}
	if q.route.Sticky {
		query.Object = ident.Object(q.r.Header.Get(q.dialect.Object))
	}
	return query
}

// readBody reads the body, so that it can be sent as a whole. Long bodies are read only if a server could take them now.
func (e *Edge) readBody(q *request) *reply {
	if q.r.ContentLength == 0 {
		return nil
	}
	q.version = e.seams.Version(q.service)
	if q.r.ContentLength < 0 || q.r.ContentLength > longBody {
		if no := e.seams.Board.Check(time.Now(), q.query()); no != nil {
			return refusal(Outcome(no.Reason), http.StatusServiceUnavailable, no.RetryAfter)
		}
	}
	source := io.Reader(q.r.Body)
	if most := q.table.Limits.MaxBodyBytes; most > 0 {
		source = http.MaxBytesReader(nil, q.r.Body, most)
	}
	body, err := io.ReadAll(io.LimitReader(source, keptRequestBody+1))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return final(outcomeTooLarge, http.StatusRequestEntityTooLarge)
		}
		return broken(outcomeBody)
	}
	q.body = body
	if len(body) > keptRequestBody {
		q.stream = source
	}
	return nil
}

const longBody = 16 << 10 // bytes

// fingerprint identifies the request by what a backend server would see of it and who sends it.
func (q *request) fingerprint() poison.Fingerprint {
	if q.print != "" {
		return q.print
	}
	h := xxhash.New()
	for _, part := range []string{string(q.team), q.r.Method, q.r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.print = poison.Fingerprint(strconv.FormatUint(h.Sum64(), 16))
	return q.print
}
