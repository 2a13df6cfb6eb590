package edge

import (
	"time"
)

const (
	linesPerSecond = 20  // of each outcome
	sampledServed  = 256 // one of so many served requests is logged
)

// log writes a line for each request that was not served, and for a sample of the others. Lines of an outcome that comes
// too often are counted, and the next line says how many were left out.
func (e *Edge) log(q *request, r *reply) {
	if r.outcome == outcomeAnswered && e.served.Add(1)%sampledServed != 0 {
		return
	}
	now := time.Now()
	ok, omitted := e.limit.Allow(now, string(r.outcome))
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
		"service", string(q.service), "version", string(q.version), "servers", q.servers, "sent", q.sent, "unsent", q.unsent,
		"may-run", q.mayRun, "took", now.Sub(q.started).Round(time.Millisecond), "left", q.deadline.Sub(now).Round(time.Millisecond),
		"retry-after", r.after.Round(time.Millisecond), "configuration", version, "omitted", omitted,
	}
	if r.outcome == outcomeAnswered {
		e.seams.Log.Info("request served", attributes...)
		return
	}
	e.seams.Log.Warn("request not served", attributes...)
}
