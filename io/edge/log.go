package edge

import (
	"time"
)

const (
	maxLinesPerSecond = 20  // log lines of each outcome
	servedPerLogLine  = 256 // served requests for each one that is logged
)

// log writes a line for each request that was not served and for a sample of the served ones. Lines of an outcome above
// maxLinesPerSecond are omitted, and the next line of that outcome reports how many.
func (e *Edge) log(q *request, r *reply) {
	if r.outcome == outcomeAnswered && e.served.Add(1)%servedPerLogLine != 0 {
		return
	}
	now := time.Now()
	ok, omitted := e.logLimit.Allow(now, string(r.outcome))
	if !ok {
		return
	}
	route, version := "", int64(0)
	if q.table != nil {
		version = int64(q.table.Version)
	}
	if q.route != nil {
		route = string(q.route.Name)
	}
	attributes := []any{
		"id", q.id(), "outcome", string(r.outcome), "status", r.status, "route", route, "team", string(q.team),
		"service", string(q.service), "version", string(q.choice.Version), "servers", q.sentTo, "peers", q.peers, "from", string(q.from), "sent", q.sent, "unsent", q.unsent,
		"may-run", q.mayHaveRun, "took", now.Sub(q.started).Round(time.Millisecond), "left", q.deadline.Sub(now).Round(time.Millisecond),
		"retry-after", r.retryAfter.Round(time.Millisecond), "configuration", version, "copy-age", e.deps.CopyAge().Round(time.Millisecond), "omitted", omitted,
		"waited", q.waited.Round(time.Millisecond), "returning", q.rank.Returning, "counted-at", string(q.charge.Host), "count-failed-at", string(q.charge.Failed),
	}
	if r.outcome == outcomeAnswered {
		e.deps.Log.Info("request served", attributes...)
		return
	}
	e.deps.Log.Warn("request not served", attributes...)
}
