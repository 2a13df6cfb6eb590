package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/budget"
	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/paths"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wait"
	"jayshift/io/rates"
	"jayshift/io/socket"
)

const (
	assumedResponseSize       = 5000.0 // bytes, for estimating the network cost of the response
	defaultTimeout            = 10 * time.Second
	noConfigurationRetryAfter = 300 * time.Millisecond
	poisonRetryAfter          = 10 * time.Second
)

// request is the state of one request that a caller sent. A retry by the caller is a new request.
type request struct {
	protocol   *Protocol
	r          *http.Request
	ctx        context.Context
	started    time.Time
	deadline   time.Time // the caller does not wait longer than this
	table      *table.Table
	route      *table.Route
	team       ident.Team
	teamConfig *table.Team
	service    ident.Service
	choice     canary.Choice // version that the next attempt is sent to
	body       []byte
	restOfBody io.Reader // rest of the body after the buffered part, nil for none
	account    *budget.Account
	held       *budget.Hold // memory of body
	fp         poison.Fingerprint

	from          ident.Host     // host that has forwarded the request, empty if it came from a caller
	readsResult   bool           // that host reads the result in the response
	serviceWanted ident.Service  // service that this host has selected for it
	leaving       *roster.Server // the process that has said in a response to it that it leaves; nil for none
	minVersion    table.Version  // of the configuration by which it has been read already
	attemptLimit  int            // maximum number of servers to send it to, in addition to the route's, 0 for none
	peers         []ident.Host   // peers that the request was forwarded to

	arrivedAt ident.Service  // service whose queue knows of the request, empty for none
	rank      wait.Request   // what the queue knows of it
	refused   *place.Refusal // why it waits; nil if it has not tried
	waited    time.Duration  // time that it has waited for room
	sawCutOff bool           // it has started again because this host was cut off from the servers
	rejection *reply         // reply if it is rejected by a configuration that came in force while it waited

	charge     rates.Charge // what the team's rate was charged
	running    int          // attempts that have not ended
	sent       int          // ended attempts that may have reached a backend server
	unsent     int          // ended attempts that did not reach a server
	mayHaveRun bool
	attempted  []ident.BackendServer
	sentTo     []ident.BackendServer // servers that may have received the request, for the log
}

func newRequest(ctx context.Context, p *Protocol, r *http.Request, now time.Time) *request {
	account := budget.AccountOf(ctx)
	return &request{
		protocol: p, r: r, ctx: ctx, started: now, deadline: now.Add(defaultTimeout), account: account, held: account.Hold(budget.Body),
	}
}

func (q *request) id() string { return q.r.Header.Get(q.protocol.RequestID) }

func (q *request) idempotent() bool { return q.route.Idempotent() }

// callerLeft reports whether the caller has closed its connection.
func (q *request) callerLeft() bool { return q.ctx.Err() != nil || socket.CallerLeft(q.ctx) }

// replayable reports whether the whole request is buffered and can be sent again.
func (q *request) replayable() bool { return q.restOfBody == nil }

// admit sets the route, the team, the deadline and the service of the request. It returns a reply if the request is
// refused, otherwise nil.
func (e *Edge) admit(q *request) *reply {
	q.table = e.deps.Table()
	if q.table == nil {
		return refusal(outcomeNoConfiguration, http.StatusServiceUnavailable, noConfigurationRetryAfter)
	}
	if e.deps.CopyExpired() {
		return refusal(outcomeCopyExpired, http.StatusServiceUnavailable, noConfigurationRetryAfter)
	}
	if q.table.Version < q.minVersion {
		return refusal(outcomeBehind, http.StatusServiceUnavailable, minRetryAfter)
	}
	var ok bool
	if q.route, ok = q.table.Route(hostName(q.r.Host), paths.Of(q.r.RequestURI)); !ok {
		return finalError(outcomeNoRoute, http.StatusNotFound)
	}
	if rejection := q.findTeam(); rejection != nil {
		return rejection
	}
	q.setDeadline()
	if e.cannotEnd(q) {
		return refusal(outcomeStopping, http.StatusServiceUnavailable, minRetryAfter)
	}
	if q.service = q.serviceWanted; !q.routeHas(q.service) {
		q.service = e.splitter.next(q.route)
	}
	if q.table.Limits.MaxBodyBytes > 0 && q.r.ContentLength > q.table.Limits.MaxBodyBytes {
		return finalError(outcomeTooLarge, http.StatusRequestEntityTooLarge)
	}
	return nil
}

// routeHas reports whether the route sends requests to the service.
func (q *request) routeHas(s ident.Service) bool {
	return slices.ContainsFunc(q.route.Services, func(w table.WeightedService) bool { return w.Service == s })
}

// maxAttempts returns the number of servers that the request may be sent to.
func (q *request) maxAttempts() int {
	if q.attemptLimit > 0 {
		return min(q.route.MaxAttempts, q.attemptLimit)
	}
	return q.route.MaxAttempts
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// findTeam sets the team from the caller's API key, and returns a reply if the key is refused. Open routes require no key,
// but a valid key still identifies the team.
func (q *request) findTeam() *reply {
	if !q.table.RequiresKey() {
		return nil
	}
	team, ok := q.table.TeamByKey(q.protocol.Key(q.r.Header))
	if ok {
		q.team, q.teamConfig = team.Name, team
		q.held.SetTeam(team.Name)
		return nil
	}
	if q.route.Open {
		return nil
	}
	return finalError(outcomeKeyRefused, http.StatusUnauthorized)
}

// setDeadline sets the deadline to the caller's deadline or the route's timeout, whichever is sooner.
func (q *request) setDeadline() {
	if q.route.Timeout > 0 {
		q.deadline = q.started.Add(q.route.Timeout)
	}
	if ms, err := strconv.ParseInt(q.r.Header.Get(q.protocol.Deadline), 10, 32); err == nil && ms > 0 {
		if deadline := q.started.Add(time.Duration(ms) * time.Millisecond); deadline.Before(q.deadline) {
			q.deadline = deadline
		}
	}
}

func (q *request) priority() int {
	if q.teamConfig != nil && q.teamConfig.Priority != nil {
		return *q.teamConfig.Priority
	}
	return q.route.Priority
}

// query returns the balancer query for the next attempt.
func (q *request) query() place.Query {
	regions, restricted := table.AllowedRegions(q.route, q.teamConfig)
	query := place.Query{
		Service: q.service, Version: q.choice.Version, Route: q.route.Name, LatencyTarget: q.route.LatencyTarget, Started: q.started, Priority: q.priority(),
		Bytes: float64(max(q.r.ContentLength, 0)) + assumedResponseSize, Deadline: q.deadline,
		AllowedRegions: regions, Restricted: restricted, Attempted: q.attempted,
	}
	if q.route.Sticky {
		query.Object = q.object()
	}
	return query
}

// maxObjectName is the longest name of an object, in bytes, that is kept beyond the request.
const maxObjectName = 32

// object returns the name of the object that the request is about, or a hash of a longer one. All hosts must agree on it.
func (q *request) object() ident.Object {
	name := q.r.Header.Get(q.protocol.Object)
	if len(name) > maxObjectName {
		name = strconv.FormatUint(xxhash.Sum64String(name), 16)
	}
	return ident.Object(name)
}

// fingerprint returns a hash of what identifies the caller (the team) and what a backend server receives (the method, the
// URI and the buffered body). Requests with the same fingerprint count as copies of one request.
func (q *request) fingerprint() poison.Fingerprint {
	if q.fp != "" {
		return q.fp
	}
	h := xxhash.New()
	for _, part := range []string{string(q.team), q.r.Method, q.r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.fp = poison.Fingerprint(strconv.FormatUint(h.Sum64(), 16))
	return q.fp
}
