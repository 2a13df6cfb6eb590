// Package meter exports a host's metrics through OpenTelemetry in the Prometheus text format.
package meter

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"jayshift/io/entry"
)

// Meter counts what the host does.
type Meter struct {
	provider *sdk.MeterProvider
	meter    metric.Meter
	handler  http.Handler
	requests metric.Int64Counter
	latency  metric.Float64Histogram
}

// latencyBounds are the histogram's bounds, in seconds.
var latencyBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// New returns a meter with its own registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, merry.Wrap(err)
	}
	m := &Meter{provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}
	m.meter = m.provider.Meter("jayshift")
	m.handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	if m.requests, err = m.meter.Int64Counter("jayshift.requests", metric.WithDescription("Requests by outcome.")); err != nil {
		return nil, merry.Wrap(err)
	}
	m.latency, err = m.meter.Float64Histogram("jayshift.latency", metric.WithUnit("s"),
		metric.WithDescription("Time from a request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	return m, merry.Wrap(err)
}

// Count takes in the end of one request.
func (m *Meter) Count(s entry.Sample) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", string(s.Service)), attribute.String("team", string(s.Team)),
		attribute.String("shift", string(s.Shift)), attribute.String("outcome", s.Outcome),
	))
	m.latency.Record(ctx, s.Took.Seconds(), metric.WithAttributes(
		attribute.String("service", string(s.Service)), attribute.String("team", string(s.Team)),
	))
}

// Gauge exports a value that is read when metrics are collected.
func (m *Meter) Gauge(name, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return merry.Wrap(err)
}

// ServeHTTP answers with all metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }
