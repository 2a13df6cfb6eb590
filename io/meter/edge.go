package meter

import (
	"context"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"jayshift/io/edge"
	"jayshift/io/store"
)

// Edge counts what an edge host does.
type Edge struct {
	*Meter
	requests metric.Int64Counter
	attempts metric.Int64Counter
	calls    metric.Int64Counter
	latency  metric.Float64Histogram
}

// NewEdge returns a meter of an edge host.
func NewEdge() (*Edge, error) {
	m, err := New()
	if err != nil {
		return nil, err
	}
	e := &Edge{Meter: m}
	if e.requests, err = m.meter.Int64Counter("jayshift.edge.requests", metric.WithDescription("Requests by outcome.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.attempts, err = m.meter.Int64Counter("jayshift.edge.attempts", metric.WithDescription("Tries at backend servers.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.calls, err = m.meter.Int64Counter("jayshift.edge.store.calls", metric.WithDescription("Calls of the store by call and result.")); err != nil {
		return nil, merry.Wrap(err)
	}
	e.latency, err = m.meter.Float64Histogram("jayshift.edge.latency", metric.WithUnit("s"),
		metric.WithDescription("Time from a request to its answer, by outcome."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	return e, merry.Wrap(err)
}

// Count takes in the end of one request. Outcomes are few, so that the series stay few with many routes and teams.
func (e *Edge) Count(s edge.Sample) {
	ctx := context.Background()
	outcome := metric.WithAttributes(attribute.String("outcome", string(s.Outcome)))
	e.requests.Add(ctx, 1, outcome)
	e.attempts.Add(ctx, int64(s.Attempts))
	e.latency.Record(ctx, s.Latency.Seconds(), outcome)
}

// CountCall takes in the end of one call of the store.
func (e *Edge) CountCall(call string, result store.Result) {
	e.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", string(result))))
}
