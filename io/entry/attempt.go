package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jayshift/core/canary"
	"jayshift/core/dedup"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/share"
	"jayshift/io/target"
)

const (
	maxQueueWait          = 500 * time.Millisecond // longest wait for a slot in the queue
	queuePollPeriod       = 4 * time.Millisecond
	busyRetryAfter        = 500 * time.Millisecond
	unavailableRetryAfter = 1 * time.Second
	minAttemptTime        = 50 * time.Millisecond // the deadline is split between two attempts only if each gets more than this
	attemptHeader         = target.AttemptHeader
	backendDeadlineHeader = "Jayshift-Deadline-Ms"
)

// runResult is the response of a recorded run. complete is set once it was read to its end.
type runResult struct {
	complete bool
	outcome  dedup.Outcome
}

// attemptAll sends the request, again if the retry budget allows it, until a response was forwarded. It returns the
// last problem if none was, or a poison problem as soon as the request counts as poisonous.
func (e *Entry) attemptAll(q *request, result *runResult) *problem {
	budget := e.state(q.service.Name).budget
	budget.RecordFirstAttempt()
	for {
		last, p := e.attempt(q, result)
		if p == nil {
			return nil
		}
		next := retry.Request{Idempotent: q.idempotent(), Replayable: q.body.replayable(), Attempts: q.attempts, Deadline: q.deadline}
		if e.deps.Poison.Refused(time.Now(), q.fingerprint) {
			return poisonProblem()
		}
		if q.ctx.Err() != nil || p.noRetry || !budget.Allow(time.Now(), next, last) {
			if resting := e.allRest(q); resting != nil && p.notRun {
				return resting
			}
			return p
		}
	}
}

// attempt sends the request to one backend server. If it returns a problem, the result says whether the server may
// have run the request.
func (e *Entry) attempt(q *request, result *runResult) (retry.Result, *problem) {
	choice, held, p := e.acquireVersion(q)
	if p != nil {
		e.recordRefused(q)
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	defer held.release()
	if p := e.checkBeforeSend(q); p != nil {
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	q.attempts++
	name := choice.Server.Name
	q.tried[name] = true
	ctx, cancel := context.WithDeadline(q.ctx, e.attemptDeadline(q, held.slot))
	defer cancel()
	choice.Server.Start()
	defer e.recordStart(q, choice.Server)()
	started := time.Now()
	outdated := func() bool { return e.outdated(q, choice.Server) }
	response, err := e.deps.Pool.Do(name, e.backendRequest(ctx, q, choice.Server.Server), outdated)
	if err != nil {
		return e.handleError(q, choice.Server, err, started)
	}
	defer response.Body.Close()
	return e.handleResponse(q, choice.Server, response, started, result)
}

// checkBeforeSend checks, just before the request is sent, that it is charged and that this host may still serve. Both
// may have changed since it was admitted, because the request waited or the host's process was paused.
func (e *Entry) checkBeforeSend(q *request) *problem {
	if p := e.ensureCharged(q); p != nil {
		return p
	}
	return e.checkServing()
}

// outdated reports whether the request must not be sent to the server any more, since the server has asked for a rest, has
// said that it leaves, or its version was found bad meanwhile.
func (e *Entry) outdated(q *request, s *route.Server) bool {
	_, resting := e.restEnd(s)
	return resting || s.Leaving(time.Now()) || q.newVersion && !e.deps.Gate.Open(time.Now(), s.Service, s.Version)
}

// attemptDeadline returns the deadline of an attempt. The first attempt gets half of the remaining time if the request
// may be sent again, so that time is left for a second one. A borrowed slot also limits the attempt.
func (e *Entry) attemptDeadline(q *request, slot share.Slot) time.Time {
	deadline := q.deadline
	if !slot.Deadline.IsZero() && slot.Deadline.Before(deadline) {
		deadline = slot.Deadline
	}
	remaining := time.Until(deadline)
	if q.idempotent() && q.body.replayable() && q.attempts == 1 && remaining > 2*minAttemptTime {
		return time.Now().Add(remaining / 2)
	}
	return deadline
}

// handleError records an attempt that failed without a response and returns the problem for it.
func (e *Entry) handleError(q *request, s *route.Server, err error, started time.Time) (retry.Result, *problem) {
	now := time.Now()
	p := &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "backend server gave no answer", retryAfter: unavailableRetryAfter}
	if errors.Is(err, target.ErrCallerLeft) {
		s.End(now, route.Abandoned, 0)
		p = callerGoneProblem()
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	if errors.Is(err, target.ErrOutdated) {
		s.End(now, route.Abandoned, 0)
		p.notRun = !q.mayHaveRun
		p.status = http.StatusServiceUnavailable
		return retry.NotRun, p
	}
	if errors.Is(err, target.ErrNotSent) {
		s.End(now, route.NoAnswer, 0)
		if q.ctx.Err() == nil {
			s.ConnectFailed(now)
		}
		p.notRun = !q.mayHaveRun
		p.status = http.StatusServiceUnavailable
		return retry.NotRun, p
	}
	q.mayHaveRun = true
	if q.abandoned() {
		s.End(now, route.Abandoned, 0)
		return retry.MayHaveRun, callerGoneProblem()
	}
	if q.body.stopped() {
		// The server cannot answer a request that its caller does not finish, so that this is no sign against it.
		s.End(now, route.Abandoned, 0)
		p.status, p.kind, p.title, p.noRetry = http.StatusBadRequest, kindBadRequest, "request body did not arrive", true
		return retry.MayHaveRun, p
	}
	s.End(now, route.NoAnswer, 0)
	e.recordEvidence(q, s, canary.Lost, now.Sub(started))
	e.deps.Pool.CloseIdle(s.Name)
	if e.hasCrashed(q, s, err) {
		e.recordStrike(q, s)
	}
	if q.ctx.Err() != nil {
		p.status, p.kind, p.title = http.StatusGatewayTimeout, kindDeadline, "backend server did not answer in time"
	}
	return retry.MayHaveRun, p
}

func callerGoneProblem() *problem {
	return &problem{status: statusCallerGone, kind: kindCallerGone, title: "caller went away", noRetry: true}
}

// hasCrashed reports whether the error of an attempt shows that the backend server crashed. A timeout does not, because
// the network may have failed. A reused connection that broke may have been closed by the server while it was idle, so
// the server is probed with a new connection.
func (e *Entry) hasCrashed(q *request, s *route.Server, err error) bool {
	if errors.Is(err, target.ErrNewConnBroken) {
		return true
	}
	return errors.Is(err, target.ErrReusedConnBroken) && !e.deps.Pool.CanConnect(q.ctx, s.Address)
}

// recordStrike records, here and at the peers, that a backend server crashed while it ran the request. It records no
// strike if requests with the same fingerprint succeeded recently.
func (e *Entry) recordStrike(q *request, s *route.Server) {
	if e.deps.Poison.Strike(time.Now(), q.fingerprint, s.Name) {
		e.deps.SendStrike(q.fingerprint, s.Name)
	}
	e.deps.Log.Warn("backend server lost during a request", "backend-server", string(s.Name), "service", string(q.service.Name))
}
