package edge

import (
	"context"
	"errors"
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/roster"
	"jayshift/io/conns"
	"jayshift/io/panics"
)

const (
	maxUnsent   = 4                     // unreachable servers after which a request fails
	minTimeLeft = 10 * time.Millisecond // until the deadline; with less, a request is not retried
	replyMargin = 5 * time.Millisecond  // by which a server's deadline is before the caller's
	// A hedged attempt starts after hedgeDelayFactor times the expected time or after hedgeDelayFraction of the time left
	// until the deadline, whichever is longer, unless the server has answered any request since.
	hedgeDelayFactor   = 4
	hedgeDelayFraction = 0.5
	// A server that has not answered for silenceFactor times the expected time, or for minSilence if that is longer, counts as
	// silent if no other one has answered since.
	silenceFactor = 2
	minSilence    = 500 * time.Millisecond
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	reply  *reply
	server ident.BackendServer
	sent   int // number of servers that a byte of the request may have reached
	// leaving is the process that has said in its response that it leaves, nil for none.
	leaving *roster.Server
}

// runAttempts sends the request to backend servers until there is a response to forward, or no further attempt is
// allowed.
//
// An attempt whose server has answered nothing for the hedge delay is not canceled, since a response may still come: a
// second attempt runs in parallel, and the first response to forward is used.
func (e *Edge) runAttempts(q *request) *reply {
	var attempts attemptSet
	r := e.chooseReply(q, &attempts)
	if q.sent == 0 {
		e.deps.Versions.Refuse(q.service)
	}
	attempts.choose(r)
	return r
}

// chooseReply makes attempts until it can choose the reply to the request.
func (e *Edge) chooseReply(q *request, attempts *attemptSet) *reply {
	results := make(chan attemptResult, q.route.MaxAttempts+maxUnsent+maxPeers)
	var best *reply
	for {
		reservation, refused := e.startAttempt(q, best, attempts, results)
		if reservation == nil && q.running == 0 {
			return q.replyWithoutServer(best, refused)
		}
		r, hedge := e.awaitAttempt(q, reservation, results)
		if hedge {
			continue
		}
		q.recordResult(r)
		if r.reply.attemptStatus == forwardable {
			return r.reply
		}
		if r.reply.betterThan(best) {
			best = r.reply
		}
		for q.running > 0 && !e.mayRetry(q, r.reply) {
			r = <-results
			q.recordResult(r)
			if r.reply.attemptStatus == forwardable {
				return r.reply
			}
		}
		if !e.mayRetry(q, r.reply) {
			return q.finalReply(best)
		}
	}
}

// startAttempt starts an attempt at the best server, after a wait if all servers are full. It returns a nil reservation with a
// refusal if no server can take the request, and without one if the retry budget is exhausted or if the request was forwarded
// to a peer.
func (e *Edge) startAttempt(q *request, best *reply, attempts *attemptSet, results chan<- attemptResult) (*place.Reservation, *place.Refusal) {
	if e.deps.CopyExpired() {
		return nil, &place.Refusal{Reason: place.Reason(outcomeCopyExpired), RetryAfter: noConfigurationRetryAfter}
	}
	if e.startPeerAttempt(q, attempts, results) {
		return nil, nil
	}
	reservation, refused := e.place(q, best)
	if refused != nil {
		return nil, refused
	}
	if reservation == nil {
		return e.startAttempt(q, best, attempts, results)
	}
	if !e.takeBudget(q) {
		e.deps.Versions.Return(q.service, q.choice)
		reservation.Release(time.Now(), place.Outcome{Result: place.Canceled})
		return nil, nil
	}
	q.attempted = append(q.attempted, reservation.Server.ID)
	q.running++
	ctx, index := attempts.add(q.ctx)
	if q.idempotent() {
		go e.attempt(ctx, index, q, reservation, q.choice, results)
	} else {
		e.attempt(ctx, index, q, reservation, q.choice, results)
	}
	return reservation, nil
}

// takeBudget counts a first attempt, or spends from the retry budget for a later one. It returns false if that is exhausted.
func (e *Edge) takeBudget(q *request) bool {
	budget := e.budget(q.service)
	if q.sent+q.unsent+q.running == 0 {
		budget.RecordFirstAttempt()
		return true
	}
	return q.sent+q.running == 0 || budget.Spend()
}

// awaitAttempt waits for the result of an attempt. It returns hedge if the server of the latest attempt has answered
// nothing for the hedge delay, so that another attempt should run in parallel.
func (e *Edge) awaitAttempt(q *request, res *place.Reservation, results <-chan attemptResult) (r attemptResult, hedge bool) {
	if res == nil || !q.idempotent() || !q.replayable() || q.sent+q.running >= q.maxAttempts() {
		return <-results, false
	}
	left := time.Until(q.deadline)
	hedgeDelay := max(hedgeDelayFactor*(res.ExpectedWait+res.ExpectedRun), time.Duration(hedgeDelayFraction*float64(left)))
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case r = <-results:
		return r, false
	case <-timer.C:
	}
	if res.ServerAnswered() {
		return <-results, false // the server is responsive and has the request in its queue
	}
	return attemptResult{}, true
}

// recordResult counts an attempt that has ended.
func (q *request) recordResult(r attemptResult) {
	q.running--
	if r.leaving != nil {
		q.leaving = r.leaving
	}
	if r.sent == 0 {
		q.unsent++
		return
	}
	q.sent += r.sent
	if r.server != "" {
		q.sentTo = append(q.sentTo, r.server)
	}
	q.mayHaveRun = q.mayHaveRun || r.reply.attemptStatus == mayHaveRun || r.reply.attemptStatus == forwardable
}

// mayRetry reports whether the request may be sent to another server after an attempt ended with the reply.
func (e *Edge) mayRetry(q *request, r *reply) bool {
	if r.outcome == outcomeCallerLeft || q.ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft || q.running > 0 {
		return false
	}
	if q.mayHaveRun && !q.idempotent() {
		return false
	}
	if r.attemptStatus == notSent {
		return q.unsent < maxUnsent
	}
	return q.replayable() && q.sent < q.maxAttempts()
}

// attempt sends the request to one server, releases the reservation and sends the result to results. The response is valid
// until ctx ends.
func (e *Edge) attempt(ctx context.Context, index int, q *request, reservation *place.Reservation, choice canary.Choice, results chan<- attemptResult) {
	server := &reservation.Server
	e.addRunning(server, 1)
	defer e.addRunning(server, -1)
	e.deps.Versions.Start(*server, q.route.Name)
	result := attemptResult{reply: failedAttempt(outcomeBroken, mayHaveRun), server: server.ID, sent: 1}
	outcome := place.Outcome{Result: place.Broken}
	endRun := e.deps.BeginRun(q.team, reservation.ExpectedWait)
	if err := panics.Catch(func() { result, outcome = e.send(ctx, q, reservation, choice) }); err != nil {
		e.deps.Log.Error("attempt not made", "id", q.id(), "server", string(server.ID), "error", err.Error())
	}
	if result.sent == 0 {
		e.deps.Versions.Return(q.service, choice)
	}
	endRun(result.reply.attemptStatus == forwardable || result.reply.attemptStatus == mayHaveRun)
	now := time.Now()
	e.recordOutcome(q, reservation, outcome.Result, result.reply.status, now)
	reservation.Release(now, outcome)
	e.recordRoom(q, reservation, outcome)
	result.reply.attempt = index
	results <- result
}

// send sends the request to the server of the reservation and waits for the response.
func (e *Edge) send(ctx context.Context, q *request, reservation *place.Reservation, choice canary.Choice) (attemptResult, place.Outcome) {
	server := &reservation.Server
	deadline := q.deadline.Add(-replyMargin)
	sentAt := time.Now()
	expected := max(minSilence, silenceFactor*(reservation.ExpectedWait+reservation.ExpectedRun))
	silence := time.AfterFunc(expected, func() { e.deps.Reach.RecordSilent(time.Now(), server.ID, sentAt) })
	defer silence.Stop()
	request := q.serverRequest(server.ID, deadline)
	request.Outdated = func() bool {
		return !reservation.Usable(time.Now()) || e.deps.CopyExpired() || !e.deps.Versions.MaySend(q.service, choice)
	}
	response, connectTime, err := e.deps.Pool.Do(ctx, server.Address, request, deadline)
	reply, outcome := e.classifyResponse(ctx, q, reservation, response, err)
	if response != nil && (response.Header.Get(q.protocol.Signature) != "" || outcome.Result == place.Shed) {
		e.recordLimit(server, sentAt, response.Header.Get(q.protocol.Limit))
	}
	var leaving *roster.Server
	if response != nil && outcome.Result != place.Misdirected && e.recordWishes(server, response) {
		leaving = server
	}
	outcome.ConnectTime = connectTime
	e.recordReach(ctx, server.ID, deadline, connectTime, err)
	sent := 1
	if errors.Is(err, conns.ErrNotSent) || errors.Is(err, conns.ErrCallerLeft) || errors.Is(err, conns.ErrOutdated) {
		sent = 0
	}
	return attemptResult{reply: reply, server: server.ID, sent: sent, leaving: leaving}, outcome
}

// recordReach records whether the attempt has reached the server, unless it ended before that could show.
func (e *Edge) recordReach(ctx context.Context, server ident.BackendServer, deadline time.Time, connectTime time.Duration, err error) {
	now := time.Now()
	switch {
	case err == nil:
		e.deps.Reach.RecordAnswer(now, connectTime > 0)
	case ctx.Err() != nil || now.After(deadline):
	case errors.Is(err, conns.ErrRefused):
		e.deps.Reach.RecordUnopened(now, server)
		e.deps.Reach.RecordRefused(now, server)
	case errors.Is(err, conns.ErrNotSent):
		e.deps.Reach.RecordUnopened(now, server)
	case errors.Is(err, conns.ErrBroken):
		e.deps.Reach.RecordBroken(now, server)
	}
}
