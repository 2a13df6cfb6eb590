package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/io/conns"
)

const (
	mostUnsent   = 4 // servers that could not be reached before a request is given up
	leastLeft    = 10 * time.Millisecond
	answerMargin = 5 * time.Millisecond
	// A server is silent when it has answered nothing for so many times the expected time, and for this part of the time
	// that was left.
	silentFactor  = 4
	silentPortion = 0.5
)

// result is how one try ended.
type result struct {
	reply  *reply
	server ident.BackendServer
	sent   bool // a byte of the request may have reached the server
}

// run sends the request until there is an answer to pass on, or nothing more may be tried.
//
// A try whose server has answered nothing for long is not given up, since it may still be answered: a second one runs
// beside it, and the first answer counts.
func (e *Edge) run(q *request) *reply {
	ctx, end := context.WithCancel(q.ctx)
	defer end() // tells the servers of other tries that their answers are not waited for
	results := make(chan result, q.route.MaxAttempts+mostUnsent)
	var last *reply
	for {
		ticket, no := e.start(ctx, q, results)
		if ticket == nil && q.running == 0 {
			return q.giveUp(last, no)
		}
		r, silent := e.await(q, ticket, results)
		if silent {
			continue
		}
		q.note(r)
		if r.reply.verdict == passOn {
			return r.reply
		}
		if r.reply.better(last) {
			last = r.reply
		}
		for q.running > 0 && !e.mayRetry(q, r.reply) {
			r = <-results
			q.note(r)
			if r.reply.verdict == passOn {
				return r.reply
			}
		}
		if !e.mayRetry(q, r.reply) {
			return q.settle(last)
		}
	}
}

// start begins a try at the server that suits best; it returns no ticket if none can take the request now, or the
// retries are used up.
func (e *Edge) start(ctx context.Context, q *request, results chan<- result) (*place.Reservation, *place.Refusal) {
	q.version = e.seams.Version(q.service)
	ticket, no := e.seams.Board.Pick(time.Now(), q.query())
	if no != nil {
		return nil, no
	}
	budget := e.budget(q.service)
	switch {
	case q.sent+q.unsent+q.running == 0:
		budget.RecordFirstAttempt()
	case q.sent+q.running > 0 && !budget.Spend():
		ticket.Release(time.Now(), place.Outcome{Result: place.Canceled})
		return nil, nil
	}
	q.tried = append(q.tried, ticket.Server.ID)
	q.running++
	if q.idempotent() {
		go e.attempt(ctx, q, ticket, results)
	} else {
		e.attempt(ctx, q, ticket, results)
	}
	return ticket, nil
}

// await waits for the end of a try, or until the server of the latest one has been silent for so long that another one
// should run beside it.
func (e *Edge) await(q *request, t *place.Reservation, results <-chan result) (r result, silent bool) {
	if t == nil || !q.idempotent() || !q.replayable() || q.sent+q.running >= q.route.MaxAttempts {
		return <-results, false
	}
	left := time.Until(q.deadline)
	patience := max(silentFactor*(t.ExpectedWait+t.ExpectedRun), time.Duration(silentPortion*float64(left)))
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r = <-results:
		return r, false
	case <-timer.C:
	}
	if t.ServerAnswered() {
		return <-results, false // the server is at work, and the request keeps its place there
	}
	return result{}, true
}

// note counts a try that has ended.
func (q *request) note(r result) {
	q.running--
	if !r.sent {
		q.unsent++
		return
	}
	q.sent++
	q.servers = append(q.servers, r.server)
	q.mayRun = q.mayRun || r.reply.verdict == mayHaveRun || r.reply.verdict == passOn
}

// mayRetry tells whether the request may be sent to another server after the reply.
func (e *Edge) mayRetry(q *request, r *reply) bool {
	if q.ctx.Err() != nil || time.Until(q.deadline) < leastLeft || q.running > 0 {
		return false
	}
	if q.mayRun && !q.idempotent() {
		return false
	}
	if r.verdict == notSent {
		return q.unsent < mostUnsent
	}
	return q.replayable() && q.sent < q.route.MaxAttempts
}

// attempt sends the request to one server.
func (e *Edge) attempt(ctx context.Context, q *request, ticket *place.Reservation, results chan<- result) {
	server := &ticket.Server
	e.track(server, 1)
	defer e.track(server, -1)
	deadline := q.deadline.Add(-answerMargin)
	answer, connected, err := e.seams.Pool.Do(ctx, server.Address, q.outgoing(server.ID, deadline), deadline)
	now := time.Now()
	reply, outcome := e.read(ctx, q, ticket, answer, err)
	outcome.ConnectTime = connected
	e.judge(q, ticket, outcome.Result, now)
	ticket.Release(now, outcome)
	results <- result{reply: reply, server: server.ID, sent: !errors.Is(err, conns.ErrNotSent)}
}

// read makes the reply out of what a server answered, and says what it shows of the server.
func (e *Edge) read(ctx context.Context, q *request, t *place.Reservation, a *conns.Response, err error) (*reply, place.Outcome) {
	if err != nil {
		return e.unanswered(ctx, q, t, err)
	}
	load, stated := q.dialect.ParseLoad(a.Header.Get(q.dialect.Load))
	outcome := place.Outcome{Result: place.Succeeded}
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
		outcome.Result = place.Broken
		return retryable(outcomeForeign, mayHaveRun), outcome
	case a.Status >= http.StatusInternalServerError:
		outcome.Result = place.Failed
		r := passed(a, mayHaveRun)
		r.outcome = outcomeServerFailed
		return r, outcome
	}
	e.seams.Poison.RecordSuccess(time.Now(), q.fingerprint())
	return passed(a, passOn), outcome
}

// unanswered makes the reply to an attempt that got no answer.
func (e *Edge) unanswered(ctx context.Context, q *request, t *place.Reservation, err error) (*reply, place.Outcome) {
	switch {
	case ctx.Err() != nil:
		v := mayHaveRun
		if errors.Is(err, conns.ErrNotSent) {
			v = notSent
		}
		return retryable(outcomeAbandoned, v), place.Outcome{Result: place.Canceled}
	case errors.Is(err, conns.ErrNotSent):
		return retryable(outcomeUnreachable, notSent), place.Outcome{Result: place.Unreachable}
	case errors.Is(err, conns.ErrTimeout):
		return retryable(outcomeSilent, mayHaveRun), place.Outcome{Result: place.TimedOut}
	}
	if e.seams.Poison.Strike(time.Now(), q.fingerprint(), t.Server.ID) {
		e.seams.Strike(q.fingerprint(), t.Server.ID)
	}
	return retryable(outcomeBroken, mayHaveRun), place.Outcome{Result: place.Broken}
}

// judge hands on how the attempt ended to those who watch a move to another version.
func (e *Edge) judge(q *request, t *place.Reservation, r place.Result, now time.Time) {
	switch r {
	case place.Succeeded:
		ratio, ok := t.RunTimeRatio(now)
		if !ok {
			ratio = 0
		}
		e.seams.Judge(t.Server, q.route.Name, false, ratio)
	case place.Failed, place.Broken, place.TimedOut:
		e.seams.Judge(t.Server, q.route.Name, true, 0)
	default:
	}
}

// hopHeaders hold for one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authorization", "Content-Length", "Expect"}

// outgoing is the request that a backend server sees: without the caller's key, with the time that is left.
func (q *request) outgoing(server ident.BackendServer, deadline time.Time) conns.Request {
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
		ContentLength: int64(len(q.body)), AvoidStale: !q.idempotent(),
	}
	if q.stream != nil {
		r.BodyStream, r.ContentLength = q.stream, q.r.ContentLength
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
