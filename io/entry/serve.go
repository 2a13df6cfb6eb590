package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"jayshift/core/ident"
	"jayshift/core/once"
	"jayshift/io/runs"
)

// serve carries one request to a backend server, or refuses it.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	snapshot := e.seams.Snapshot()
	service, ok := snapshot.ServiceFor(r.URL.Path)
	if !ok {
		e.refuse(w, problem{status: http.StatusNotFound, kind: kindNoService, title: "no service at this path", notRun: true})
		return
	}
	q := &request{
		w: w, r: r, snapshot: snapshot, service: service, shifts: snapshot.ShiftsOf(service.Name),
		started: started, deadline: deadlineOf(started, r, service, e.seams.Longest), tried: map[ident.BackendServer]bool{},
	}
	ctx, cancel := context.WithDeadline(q.base(), q.deadline)
	defer cancel()
	q.ctx = ctx
	defer e.count(q)
	if p := e.carry(q); p != nil {
		q.outcome = p.kind
		e.refuse(w, *p)
	}
	if q.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) count(q *request) {
	outcome := q.outcome
	if outcome == "" {
		outcome = kindAnswered
	}
	sample := Sample{Service: q.service.Name, Team: q.team, Outcome: outcome, Took: time.Since(q.started)}
	sample.Limit = time.Duration(q.service.TargetLatencyMs * float64(time.Millisecond))
	if len(q.shifts) > 0 {
		sample.Shift = q.shifts[0].Name
	}
	e.seams.Count(sample)
}

// carry takes the request through its checks to a backend server. It returns a problem when there is no answer to pass on.
func (e *Entry) carry(q *request) *problem {
	if p := e.admit(q); p != nil {
		return p
	}
	if p := e.gate(q); p != nil {
		return p
	}
	if err := q.identify(); err != nil {
		return &problem{status: http.StatusBadRequest, kind: kindBadRequest, title: "request body could not be read", notRun: true}
	}
	if e.seams.Poison.Refused(time.Now(), q.print) {
		return poisonProblem()
	}
	e.chooseVersion(q)
	if q.runKey == "" {
		return e.attemptAll(q, nil)
	}
	return e.runOnce(q)
}

// gate refuses a request beyond its limits before it costs more. A recorded run is charged only when it is sent,
// since recording it takes longer than a charge is good for.
func (e *Entry) gate(q *request) *problem {
	if q.recorded() {
		return e.exhausted(q)
	}
	return e.charge(q)
}

func poisonProblem() *problem {
	return &problem{
		status: http.StatusUnprocessableEntity, kind: kindPoison, title: "backend servers failed while running this request",
		detail: "do not send it again",
	}
}

// chooseVersion decides between the old and the new version while a shift moves the service.
func (e *Entry) chooseVersion(q *request) {
	q.version = ident.Version(q.service.Version)
	wanted, _ := q.snapshot.TargetVersion(q.service.Name)
	q.moving = wanted != "" && wanted != q.version
	if !q.moving {
		return
	}
	if version, pass := e.seams.Gate.Pass(q.service.Name); pass {
		q.version = version
		q.fresh = true
	}
}

// runOnce runs a request that carries an idempotency key at most once, over all entries.
func (e *Entry) runOnce(q *request) *problem {
	run, verdict, record := e.seams.Runs.Begin(q.ctx, q.runKey)
	switch verdict {
	case once.MayRun:
	case once.Completed:
		return e.replay(q, record.Outcome)
	case once.InProgress:
		return &problem{status: http.StatusConflict, kind: kindInProgress, title: "this request is still running", after: time.Second}
	case once.OutcomeUnknown, once.NoReadQuorum:
		return &problem{
			status: http.StatusConflict, kind: kindUnknown, title: "outcome of an earlier attempt is unknown",
			detail: "check what it did before sending a new request with another key",
		}
	case once.NoWriteQuorum:
		return &problem{
			status: http.StatusServiceUnavailable, kind: kindNoKeepers, title: "too few hosts to record the request",
			notRun: true, after: time.Second,
		}
	}
	result := &runResult{}
	p := e.attemptAll(q, result)
	e.endRun(q, run, p, result)
	return p
}

// endRun records how the run ended: not run, an outcome, or unknown.
func (e *Entry) endRun(q *request, run *runs.Run, p *problem, result *runResult) {
	switch {
	case p != nil && p.notRun:
		run.Cancel(q.ctx)
	case p != nil || !result.whole:
		run.Finish(q.ctx, once.Unknown, once.Outcome{})
	default:
		run.Finish(q.ctx, once.Done, result.outcome)
	}
}

// replay answers with the outcome of an earlier run.
func (e *Entry) replay(q *request, o once.Outcome) *problem {
	if o.Truncated {
		return &problem{
			status: http.StatusConflict, kind: kindUnknown, title: "this request has run; its answer was too large to keep",
			detail: "it ended with status " + strconv.Itoa(o.Status),
		}
	}
	h := q.w.Header()
	for name, value := range o.Header {
		h.Set(name, value)
	}
	h.Set(hostHeader, string(e.seams.Host))
	h.Set(replayedHeader, "true")
	q.w.WriteHeader(o.Status)
	_, _ = q.w.Write(o.Body)
	return nil
}
