package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jayshift/core/place"
	"jayshift/io/conns"
)

const (
	mostUnsent   = 4 // servers that could not be reached before a request is given up
	leastLeft    = 10 * time.Millisecond
	patience     = 4   // times the expected time before an idempotent request is tried elsewhere
	retryPortion = 0.6 // of the time left that a first try may take, when another could follow
	answerMargin = 5 * time.Millisecond
)

// run sends the request until there is an answer to pass on, or nothing more may be tried.
func (e *Edge) run(q *request) *reply {
	var last *reply
	for {
		q.version = e.seams.Version(q.service)
		ticket, no := e.seams.Board.Pick(time.Now(), q.query())
		if no != nil {
			return q.giveUp(last, no)
		}
		if q.sent > 0 && !e.budget(q.service).Spend() {
			ticket.End(time.Now(), place.Outcome{Result: place.Abandoned})
			return q.giveUp(last, nil)
		}
		reply := e.attempt(q, ticket)
		if !e.mayRetry(q, reply) {
			return q.settle(reply, last)
		}
		if reply.better(last) {
			last = reply
		}
	}
}

// mayRetry tells whether the request may be sent to another server after the reply.
func (e *Edge) mayRetry(q *request, r *reply) bool {
	if r.verdict == passOn || q.ctx.Err() != nil || time.Until(q.deadline) < leastLeft {
		return false
	}
	if r.verdict == mayHaveRun && !q.idempotent() {
		return false
	}
	if r.verdict == notSent {
		return q.unsent < mostUnsent
	}
	return q.replayable() && q.sent < q.route.Attempts
}

// attempt sends the request to one server.
func (e *Edge) attempt(q *request, ticket *place.Ticket) *reply {
	server := &ticket.Server
	q.tried = append(q.tried, server.ID)
	e.track(server, 1)
	defer e.track(server, -1)
	if q.sent == 0 && q.unsent == 0 {
		e.budget(q.service).First()
	}
	ctx, end := context.WithCancel(q.ctx)
	defer end()
	stop := e.watchdog(q, ticket, end)
	deadline := q.deadline.Add(-answerMargin)
	answer, connected, err := e.seams.Pool.Do(ctx, server.Address, q.outgoing(server.ID, deadline), deadline)
	stop()
	now := time.Now()
	if !errors.Is(err, conns.ErrNotSent) {
		q.sent++
		q.servers = append(q.servers, server.ID)
	} else {
		q.unsent++
	}
	reply, outcome := e.read(q, ticket, answer, err)
	outcome.Connected = connected
	e.judge(q, ticket, outcome.Result, now)
	ticket.End(now, outcome)
	return reply
}

// watchdog ends a try whose server has answered nothing since it was sent, early enough for another server to be tried.
// A server that answers others is at work, and the request keeps its place there.
func (e *Edge) watchdog(q *request, t *place.Ticket, end context.CancelFunc) (stop func() bool) {
	if !q.idempotent() || q.sent+1 >= q.route.Attempts {
		return func() bool { return true }
	}
	left := time.Until(q.deadline)
	try := max(patience*(t.Wait+t.Run), time.Duration(retryPortion*float64(left)))
	return time.AfterFunc(try, func() {
		if !e.seams.Leaving() && !t.Heard() {
			end()
		}
	}).Stop
}

// read makes the reply out of what a server answered, and says what it shows of the server.
func (e *Edge) read(q *request, t *place.Ticket, a *conns.Answer, err error) (*reply, place.Outcome) {
	if err != nil {
		return e.unanswered(q, t, err)
	}
	load, stated := q.dialect.ParseLoad(a.Header.Get(q.dialect.Load))
	outcome := place.Outcome{Result: place.Answered}
	if stated {
		outcome.Load = &load
	}
	signed := a.Header.Get(q.dialect.Signature) != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		e.seams.Gone(t.Server)
		outcome.Result = place.Misdirected
		return retryable(outcomeMisdirected, notRun), outcome
	case a.Header.Get(q.dialect.NotRun) != "":
		outcome.Result = place.Shed
		return retryable(outcomeShed, notRun), outcome
	case a.Header.Get("Content-Encoding") != "" || !signed && a.Status < http.StatusMultipleChoices:
		q.mayRun = true
		outcome.Result = place.Broken
		return retryable(outcomeForeign, mayHaveRun), outcome
	case a.Status >= http.StatusInternalServerError:
		q.mayRun = true
		outcome.Result = place.Failed
		r := passed(a, mayHaveRun)
		r.outcome = outcomeServerFailed
		return r, outcome
	}
	e.seams.Poison.Succeeded(time.Now(), q.fingerprint())
	return passed(a, passOn), outcome
}

// unanswered makes the reply to an attempt that got no answer.
func (e *Edge) unanswered(q *request, t *place.Ticket, err error) (*reply, place.Outcome) {
	switch {
	case errors.Is(err, conns.ErrNotSent) && q.ctx.Err() == nil:
		return retryable(outcomeUnreachable, notSent), place.Outcome{Result: place.Unreachable}
	case q.ctx.Err() != nil:
		q.mayRun = true
		return retryable(outcomeAbandoned, mayHaveRun), place.Outcome{Result: place.Abandoned}
	case errors.Is(err, conns.ErrSilent):
		q.mayRun = true
		return retryable(outcomeSilent, mayHaveRun), place.Outcome{Result: place.Silent}
	}
	q.mayRun = true
	if e.seams.Poison.Strike(time.Now(), q.fingerprint(), t.Server.ID) {
		e.seams.Strike(q.fingerprint(), t.Server.ID)
	}
	return retryable(outcomeBroken, mayHaveRun), place.Outcome{Result: place.Broken}
}

// judge hands on how the attempt ended to those who watch a move to another version.
func (e *Edge) judge(q *request, t *place.Ticket, r place.Result, now time.Time) {
	switch r {
	case place.Answered:
		ratio, ok := t.Ratio(now)
		if !ok {
			ratio = 0
		}
		e.seams.Judge(t.Server, q.route.Name, false, ratio)
	case place.Failed, place.Broken, place.Silent:
		e.seams.Judge(t.Server, q.route.Name, true, 0)
	default:
	}
}

// hopHeaders hold for one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authorization", "Content-Length", "Expect"}

// outgoing is the request that a backend server sees: without the caller's key, with the time that is left.
func (q *request) outgoing(server identServer, deadline time.Time) conns.Request {
	h := q.r.Header.Clone()
	stripConnection(h)
	d := q.dialect
	for _, name := range d.Private {
		h.Del(name)
	}
	h.Set(d.Deadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	h.Set(d.Expect, string(server))
	h.Del(d.Team)
	if q.team != "" {
		h.Set(d.Team, string(q.team))
	}
	r := conns.Request{
		Method: q.r.Method, Target: q.r.URL.RequestURI(), Host: q.r.Host, Header: h, Body: q.body, ID: q.id(),
		Length: int64(len(q.body)), Careful: !q.idempotent(),
	}
	if q.stream != nil {
		r.Stream, r.Length = q.stream, q.r.ContentLength
	}
	return r
}

// stripConnection removes the fields that hold for one connection only.
func stripConnection(h http.Header) {
	for _, fields := range h["Connection"] {
		for _, field := range splitList(fields) {
			h.Del(field)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
