package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"jayshift/core/budget"
	"jayshift/core/dedup"
	"jayshift/core/ident"
	"jayshift/core/paths"
	"jayshift/io/runs"
	"jayshift/io/socket"
)

// serve proxies one request to a backend server, or responds with a problem. If the response was cut off, it panics with
// http.ErrAbortHandler to abort the caller's connection.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	snapshot := e.deps.Snapshot()
	service, ok := snapshot.ServiceFor(paths.Of(r.RequestURI))
	if !ok {
		e.writeProblem(w, problem{status: http.StatusNotFound, kind: kindNoService, title: "no service at this path", notRun: true})
		return
	}
	q := &request{
		w: w, r: r, snapshot: snapshot, service: service, shifts: snapshot.ShiftsOf(service.Name),
		held: budget.AccountOf(r.Context()).Hold(budget.Body), started: started, deadline: deadlineOf(started, r, service, e.deps.MaxRequestTime), tried: map[ident.BackendServer]bool{},
	}
	defer q.held.Release()
	ctx, cancel := context.WithDeadline(q.baseContext(), q.deadline)
	defer cancel()
	q.ctx = ctx
	if !q.recorded() {
		defer socket.WatchCaller(ctx, cancel)()
	}
	defer e.observe(q)
	if p := e.handle(q); p != nil {
		q.outcome = p.kind
		e.writeProblem(w, *p)
	}
	if q.aborted {
		panic(http.ErrAbortHandler)
	}
}

// observe reports the ended request to Deps.Observe.
func (e *Entry) observe(q *request) {
	outcome := q.outcome
	if outcome == "" {
		outcome = kindAnswered
	}
	sample := Sample{Service: q.service.Name, Team: q.team, Outcome: outcome, Latency: time.Since(q.started)}
	sample.TargetLatency = time.Duration(q.service.TargetLatencyMs * float64(time.Millisecond))
	if len(q.shifts) > 0 {
		sample.Shift = q.shifts[0].Name
	}
	e.deps.Observe(sample)
}

// handle checks the request and sends it to a backend server. It returns a problem if there is no response to forward.
func (e *Entry) handle(q *request) *problem {
	if p := e.admit(q); p != nil {
		return p
	}
	if q.abandoned() {
		p := callerGoneProblem()
		p.notRun = true
		return p
	}
	if p := e.checkRateLimits(q); p != nil {
		return p
	}
	if err := q.computeFingerprint(); err != nil {
		return bodyProblem(err)
	}
	if e.deps.Poison.Refused(time.Now(), q.fingerprint) {
		return poisonProblem()
	}
	e.chooseVersion(q)
	if q.runKey == "" {
		return e.attemptAll(q, nil)
	}
	return e.runOnce(q)
}

// checkRateLimits rejects a request that exceeds its rate limits, before its body is read. A recorded run is charged
// only when it is sent, because recording it takes longer than chargeTTL.
func (e *Entry) checkRateLimits(q *request) *problem {
	if q.recorded() {
		return e.checkExhausted(q)
	}
	return e.charge(q)
}

// bodyProblem returns the problem for a body whose start could not be read.
func bodyProblem(err error) *problem {
	switch {
	case errors.Is(err, budget.ErrFull), errors.Is(err, budget.ErrShed), errors.Is(err, budget.ErrConnection), errors.Is(err, budget.ErrTeam):
		return &problem{status: http.StatusServiceUnavailable, kind: kindMemory, title: "host has no memory for the request", notRun: true, retryAfter: time.Second}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &problem{status: http.StatusRequestTimeout, kind: kindBodySlow, title: "request body did not arrive in time", notRun: true}
	}
	return &problem{status: http.StatusBadRequest, kind: kindBadRequest, title: "request body could not be read", notRun: true}
}

// poisonProblem returns the problem for a request that has crashed too many backend servers to be run again.
func poisonProblem() *problem {
	return &problem{
		status: http.StatusUnprocessableEntity, kind: kindPoison, title: "backend servers failed while running this request",
		detail: "do not send it again",
	}
}

// chooseVersion chooses the old or the new version of the service while a shift moves it, by the new version's share.
func (e *Entry) chooseVersion(q *request) {
	q.version = ident.Version(q.service.Version)
	target, _ := q.snapshot.TargetVersion(q.service.Name)
	q.versionMove = target != "" && target != q.version
	if !q.versionMove {
		return
	}
	if choice, ok := e.deps.Gate.Pass(time.Now(), q.service.Name, false); ok {
		q.version, q.newVersion, q.onlyVersion = choice.Version, true, choice.Only
	}
}

// runOnce runs a request with an idempotency key at most once in the whole fleet. If an earlier run is recorded, it
// responds with that run's outcome or with a problem.
func (e *Entry) runOnce(q *request) *problem {
	run, verdict, record := e.deps.Runs.Begin(q.ctx, q.runKey)
	switch verdict {
	case dedup.MayRun:
	case dedup.Completed:
		return e.replay(q, record.Outcome)
	case dedup.InProgress:
		return &problem{status: http.StatusConflict, kind: kindInProgress, title: "this request is still running", retryAfter: time.Second}
	case dedup.OutcomeUnknown, dedup.NoReadQuorum:
		return &problem{
			status: http.StatusConflict, kind: kindOutcomeUnknown, title: "outcome of an earlier attempt is unknown",
			detail: "check what it did before sending a new request with another key",
		}
	case dedup.NoWriteQuorum:
		return &problem{
			status: http.StatusServiceUnavailable, kind: kindCannotRecord, title: "too few hosts to record the request",
			notRun: true, retryAfter: time.Second,
		}
	}
	result := &runResult{}
	p := e.attemptAll(q, result)
	e.finishRun(q, run, p, result)
	return p
}

// finishRun removes the record of the run if the request was certainly not run. Otherwise it records the outcome, or
// that the outcome is unknown.
func (e *Entry) finishRun(q *request, run *runs.Run, p *problem, result *runResult) {
	switch {
	case p != nil && p.notRun:
		run.Cancel(q.ctx)
	case p != nil || !result.complete:
		run.Finish(q.ctx, dedup.Unknown, dedup.Outcome{})
	default:
		run.Finish(q.ctx, dedup.Done, result.outcome)
	}
}

// replay responds with the recorded outcome of an earlier run, or returns a problem if its body was too large to record.
func (e *Entry) replay(q *request, o dedup.Outcome) *problem {
	if o.Truncated {
		return &problem{
			status: http.StatusConflict, kind: kindOutcomeUnknown, title: "this request has run; its answer was too large to keep",
			detail: "it ended with status " + strconv.Itoa(o.Status),
		}
	}
	h := q.w.Header()
	for name, value := range o.Header {
		h.Set(name, value)
	}
	h.Set(hostHeader, string(e.deps.Host))
	h.Set(replayedHeader, "true")
	q.w.WriteHeader(o.Status)
	_, _ = q.w.Write(o.Body)
	return nil
}
