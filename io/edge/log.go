package edge

import (
	"time"
)

// log writes one line for a request that was not served well; served ones are counted in the metrics only.
func (e *Edge) log(q *request, r *reply) {
	if r.outcome == outcomeAnswered {
		return
	}
	route, version := "", int64(0)
	if q.route != nil {
		route, version = string(q.route.Name), int64(q.table.Version)
	}
	e.seams.Log.Warn("request not served", "id", q.id(), "outcome", string(r.outcome), "status", r.status, "route", route,
		"team", string(q.team), "service", string(q.service), "servers", q.servers, "sent", q.sent, "unsent", q.unsent,
		"took", time.Since(q.started).Round(time.Millisecond), "left", time.Until(q.deadline).Round(time.Millisecond),
		"retry-after", r.after.Round(time.Millisecond), "configuration", version)
}
