package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jayshift/core/once"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/share"
	"jayshift/core/trial"
	"jayshift/io/target"
)

const (
	queueWait       = 500 * time.Millisecond // longest wait for a slot
	queuePoll       = 4 * time.Millisecond
	busyAfter       = 500 * time.Millisecond
	unavailAfter    = 1 * time.Second
	leastAttempt    = 50 * time.Millisecond // time below which a deadline is not split over attempts
	attemptHeader   = "Jayshift-Attempt"
	backendDeadline = "Jayshift-Deadline-Ms"
)

// runResult is what a recorded run keeps of its answer.
type runResult struct {
	whole   bool
	outcome once.Outcome
}

// attemptAll sends the request until an answer was passed on or it may not be sent again.
func (e *Entry) attemptAll(q *request, result *runResult) *problem {
	budget := e.lane(q.service.Name).budget
	budget.First()
	for {
		last, p := e.attempt(q, result)
		if p == nil {
			return nil
		}
		again := retry.Request{Idempotent: q.idempotent(), Replayable: q.body.replayable(), Attempts: q.attempts, Deadline: q.deadline}
		if e.seams.Poison.Refused(time.Now(), q.print) {
			return poisonProblem()
		}
		if q.ctx.Err() != nil || p.final || !budget.Allowed(time.Now(), again, last) {
			return p
		}
	}
}

// attempt sends the request to one backend server. The result tells whether it may have run, for a problem.
func (e *Entry) attempt(q *request, result *runResult) (retry.Result, *problem) {
	choice, grant, p := e.acquire(q)
	if p != nil {
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	defer grant.release()
	if p := e.ready(q); p != nil {
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	q.attempts++
	name := choice.Server.Name
	q.tried[name] = true
	ctx, cancel := context.WithDeadline(q.ctx, e.attemptDeadline(q, grant.slot))
	defer cancel()
	choice.Server.Start()
	started := time.Now()
	response, err := e.seams.Pool.Do(name, e.outgoing(ctx, q, choice.Server.Server))
	if err != nil {
		return e.failed(q, choice.Server, err, started)
	}
	defer response.Body.Close()
	return e.answered(q, choice.Server, response, started, result)
}

// ready makes sure, just before the request is sent, that it is charged and that this host still may serve:
// the request may have waited, and the host may have been paused.
func (e *Entry) ready(q *request) *problem {
	if p := e.ensureCharged(q); p != nil {
		return p
	}
	return e.checkServing()
}

// attemptDeadline leaves time for another attempt when the request may be sent again.
func (e *Entry) attemptDeadline(q *request, slot share.Slot) time.Time {
	deadline := q.deadline
	if !slot.Deadline.IsZero() && slot.Deadline.Before(deadline) {
		deadline = slot.Deadline
	}
	left := time.Until(deadline)
	if q.idempotent() && q.body.replayable() && q.attempts == 1 && left > 2*leastAttempt {
		return time.Now().Add(left / 2)
	}
	return deadline
}

// failed settles an attempt that gave no answer.
func (e *Entry) failed(q *request, s *route.Server, err error, started time.Time) (retry.Result, *problem) {
	now := time.Now()
	p := &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "backend server gave no answer", after: unavailAfter}
	if errors.Is(err, target.ErrNotSent) {
		s.End(now, route.Lost, 0)
		if q.ctx.Err() == nil {
			s.Refused(now)
		}
		p.notRun = !q.mayHaveRun
		p.status = http.StatusServiceUnavailable
		return retry.NotRun, p
	}
	q.mayHaveRun = true
	if q.abandoned() {
		s.End(now, route.Abandoned, 0)
		return retry.Unknown, &problem{status: statusClientGone, kind: kindAbandoned, title: "caller went away", final: true}
	}
	s.End(now, route.Lost, 0)
	e.evidence(q, s, true, now.Sub(started))
	e.seams.Pool.CloseIdle(s.Name)
	if e.died(q, s, err) {
		e.strike(q, s)
	}
	if q.ctx.Err() != nil {
		p.status, p.kind, p.title = http.StatusGatewayTimeout, kindTimeout, "backend server did not answer in time"
	}
	return retry.Unknown, p
}

// died tells whether an attempt that gave no answer shows that the backend server went down. Silence does not: the way
// there may be cut. A connection that was used before may have been closed at rest, so the server is looked at.
func (e *Entry) died(q *request, s *route.Server, err error) bool {
	if errors.Is(err, target.ErrNewConnBroken) {
		return true
	}
	return errors.Is(err, target.ErrReusedConnBroken) && !e.seams.Pool.CanConnect(q.ctx, s.Address)
}

// strike notes that a backend server was lost while it ran the request, here and at the peers.
func (e *Entry) strike(q *request, s *route.Server) {
	if e.seams.Poison.Strike(time.Now(), q.print, s.Name) {
		e.seams.Strike(q.print, s.Name)
	}
	e.seams.Log.Warn("backend server lost during a request", "backend-server", string(s.Name), "service", string(q.service.Name))
}

// evidence counts the outcome for the judgement of a version, while a shift moves the service.
func (e *Entry) evidence(q *request, s *route.Server, failed bool, took time.Duration) {
	if !q.moving {
		return
	}
	e.seams.Evidence.Add(time.Now(), trial.Subject{Service: s.Service, Version: s.Version, Route: q.route()}, failed, took)
}
