package meter

import (
	"context"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"jayshift/io/edge"
	"jayshift/io/store"
	"jayshift/io/usage"
)

// Edge records the metrics of an edge host.
type Edge struct {
	*Meter
	requests   metric.Int64Counter
	attempts   metric.Int64Counter
	repeats    metric.Int64Counter
	rests      metric.Int64Counter
	storeCalls metric.Int64Counter
	usageCalls metric.Int64Counter
	usageGaps  metric.Int64Counter
	returns    metric.Int64Counter
	latency    metric.Float64Histogram
	waits      metric.Float64Histogram
}

// NewEdge returns an Edge with its own metrics registry. It returns the error of an instrument that cannot be created.
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
	if e.repeats, err = m.meter.Int64Counter("jayshift.edge.repeats", metric.WithDescription("Tries at backend servers beyond the first of each request.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.rests, err = m.meter.Int64Counter("jayshift.edge.rests", metric.WithDescription("Rests that backend servers have asked for.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.storeCalls, err = m.meter.Int64Counter("jayshift.edge.store.calls", metric.WithDescription("Calls of the store by call and result.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.usageCalls, err = m.meter.Int64Counter("jayshift.edge.usage.reports", metric.WithDescription("Usage reports sent to the platform by result.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.usageGaps, err = m.meter.Int64Counter("jayshift.edge.usage.missed", metric.WithDescription("Windows whose usage report was given up.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.returns, err = m.meter.Int64Counter("jayshift.edge.returns", metric.WithDescription("Requests that returned after a refusal for want of room, by outcome.")); err != nil {
		return nil, merry.Wrap(err)
	}
	if e.waits, err = m.meter.Float64Histogram("jayshift.edge.wait", metric.WithUnit("s"),
		metric.WithDescription("Time for which requests waited for room, by outcome; only those that waited."), metric.WithExplicitBucketBoundaries(latencyBuckets...)); err != nil {
		return nil, merry.Wrap(err)
	}
	e.latency, err = m.meter.Float64Histogram("jayshift.edge.latency", metric.WithUnit("s"),
		metric.WithDescription("Time from a request to its answer, by outcome."), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	return e, merry.Wrap(err)
}

// RecordRequest records a completed request. The outcome is the only label, so that the number of time series does not
// grow with the number of routes and teams.
func (e *Edge) RecordRequest(s edge.Sample) {
	ctx := context.Background()
	outcome := metric.WithAttributes(attribute.String("outcome", string(s.Outcome)))
	e.requests.Add(ctx, 1, outcome)
	e.attempts.Add(ctx, int64(s.Attempts))
	e.repeats.Add(ctx, int64(max(0, s.Attempts-1)))
	e.latency.Record(ctx, s.Latency.Seconds(), outcome)
	if s.Waited > 0 {
		e.waits.Record(ctx, s.Waited.Seconds(), outcome)
	}
	if s.Returning {
		e.returns.Add(ctx, 1, outcome)
	}
}

// RecordRest records that a backend server has asked this host to send it nothing for some time.
func (e *Edge) RecordRest() { e.rests.Add(context.Background(), 1) }

// RecordUsageCall records a call of the platform with a usage report by its result.
func (e *Edge) RecordUsageCall(result usage.Result) {
	e.usageCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", string(result))))
}

// RecordUsageMissed records windows whose usage report was given up.
func (e *Edge) RecordUsageMissed(windows int) { e.usageGaps.Add(context.Background(), int64(windows)) }

// RecordStoreCall records a completed call of the store by the name of the call and its result.
func (e *Edge) RecordStoreCall(call string, result store.Result) {
	e.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", string(result))))
}
