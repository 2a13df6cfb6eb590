package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"jayshift/core/canary"
	"jayshift/core/limit"
	"jayshift/core/place"
	"jayshift/core/rest"
	"jayshift/core/roster"
	"jayshift/io/conns"
)

// recordLimit records the limit that a server's response names, empty for none. A text that names no rate is ignored.
func (e *Edge) recordLimit(server *roster.Server, sentAt time.Time, text string) {
	rate := limit.Rate(0)
	if text != "" {
		var err error
		if rate, err = limit.ParseRate(text); err != nil {
			return
		}
	}
	key := limit.Server{ID: server.ID, Start: server.StartMillis, Region: server.Region}
	e.deps.Limits.RecordAnswer(time.Now(), key, sentAt, rate)
}

// leaves is the value of the Leaving header of a server that leaves.
const leaves = "1"

// RecordProbe records what a server's response to a probe asks for.
func (e *Edge) RecordProbe(server roster.Server, response *conns.Response) {
	if response.Status != http.StatusMisdirectedRequest {
		e.recordWishes(&server, response)
	}
}

// recordWishes records a rest that a server's response asks for, and that the server leaves. It reports the latter.
func (e *Edge) recordWishes(server *roster.Server, response *conns.Response) (leaving bool) {
	key := rest.Server{ID: server.ID, Start: server.StartMillis}
	e.deps.Rests.RecordAnswer(time.Now(), key, response.Status, response.Header)
	leaving = strings.TrimSpace(response.Header.Get(e.deps.Protocol.Leaving)) == leaves
	if leaving {
		e.deps.MarkLeaving(*server)
	}
	return leaving
}

// classifyResponse returns the reply for a server's response or error, and the outcome for the balancer.
func (e *Edge) classifyResponse(ctx context.Context, q *request, res *place.Reservation, response *conns.Response, err error) (*reply, place.Outcome) {
	if err != nil {
		return e.classifyError(ctx, q, res, err)
	}
	load, hasLoad := q.protocol.ParseLoad(response.Header.Get(q.protocol.Load))
	outcome := place.Outcome{Result: place.Succeeded}
	if hasLoad {
		outcome.Load = &load
	}
	signed := response.Header.Get(q.protocol.Signature) != ""
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		e.deps.MarkEnded(res.Server)
		outcome.Result = place.Misdirected
		return failedAttempt(outcomeMisdirected, notRun), outcome
	case response.Header.Get(q.protocol.NotRun) != "":
		outcome.Result = place.Shed
		return failedAttempt(outcomeShed, notRun), outcome
	case response.Header.Get("Content-Encoding") != "" || !signed && response.Status < http.StatusMultipleChoices:
		outcome.Result = place.Broken
		return failedAttempt(outcomeForeign, mayHaveRun), outcome
	case response.Status >= http.StatusInternalServerError:
		outcome.Result = place.Failed
		return q.serverReply(response), outcome
	}
	e.deps.Poison.RecordSuccess(time.Now(), q.fingerprint())
	return q.serverReply(response), outcome
}

// classifyError returns the reply and the outcome of an attempt without a response. A lost connection counts as a strike
// against the request, which may have crashed the server.
func (e *Edge) classifyError(ctx context.Context, q *request, res *place.Reservation, err error) (*reply, place.Outcome) {
	switch {
	case errors.Is(err, conns.ErrCallerLeft):
		return failedAttempt(outcomeCallerLeft, notSent), place.Outcome{Result: place.Canceled}
	case errors.Is(err, conns.ErrOutdated):
		return failedAttempt(outcomeOutdated, notSent), place.Outcome{Result: place.Canceled}
	case ctx.Err() != nil:
		status := mayHaveRun
		if errors.Is(err, conns.ErrNotSent) {
			status = notSent
		}
		return failedAttempt(outcomeCallerLeft, status), place.Outcome{Result: place.Canceled}
	case errors.Is(err, conns.ErrNotSent):
		return failedAttempt(outcomeUnreachable, notSent), place.Outcome{Result: place.Unreachable}
	case errors.Is(err, conns.ErrTimeout):
		return failedAttempt(outcomeSilent, mayHaveRun), place.Outcome{Result: place.TimedOut}
	}
	e.judgeLater(loss{request: q.fingerprint(), server: res.Server, at: time.Now()})
	return failedAttempt(outcomeBroken, mayHaveRun), place.Outcome{Result: place.Broken}
}

// recordOutcome records the end of the attempt for the canary analysis of the server's version.
func (e *Edge) recordOutcome(q *request, res *place.Reservation, r place.Result, status int, now time.Time) {
	if status == http.StatusGatewayTimeout {
		r = place.TimedOut // the server has not ended in time
	}
	switch r {
	case place.Succeeded:
		ratio, ok := res.RunTimeRatio(now)
		if !ok {
			ratio = 0
		}
		e.deps.Versions.End(res.Server, q.route.Name, canary.Succeeded, ratio)
	case place.Failed:
		e.deps.Versions.End(res.Server, q.route.Name, canary.Failed, 0)
	case place.Broken, place.TimedOut:
		e.deps.Versions.End(res.Server, q.route.Name, canary.Lost, 0)
	default:
		e.deps.Versions.Drop(res.Server, q.route.Name)
	}
}
