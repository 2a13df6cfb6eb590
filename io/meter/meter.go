// Package meter exports a host's metrics through OpenTelemetry in the Prometheus text format.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"jayshift/core/burn"
	"jayshift/io/entry"
)

// Meter records the metrics of a host.
type Meter struct {
	provider *sdk.MeterProvider
	meter    metric.Meter
	handler  http.Handler
	requests metric.Int64Counter
	latency  metric.Float64Histogram
}

// latencyBuckets are the upper bounds of the buckets of the latency histograms, in seconds.
var latencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// New returns a Meter with its own metrics registry. It returns the error of an instrument that cannot be created.
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
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	return m, merry.Wrap(err)
}

// RecordRequest records a completed request.
func (m *Meter) RecordRequest(s entry.Sample) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", string(s.Service)), attribute.String("team", string(s.Team)),
		attribute.String("shift", string(s.Shift)), attribute.String("outcome", s.Outcome),
	))
	m.latency.Record(ctx, s.Latency.Seconds(), metric.WithAttributes(
		attribute.String("service", string(s.Service)), attribute.String("team", string(s.Team)),
	))
}

// RegisterBurn registers gauges for the total and the bad requests of each series and window of the tracker. They are
// read whenever the metrics are collected.
func (m *Meter) RegisterBurn(tracker *burn.Tracker) error {
	total, err := m.meter.Int64ObservableGauge("jayshift.burn.requests", metric.WithDescription("Requests that count towards the service level, by window."))
	if err != nil {
		return merry.Wrap(err)
	}
	bad, err := m.meter.Int64ObservableGauge("jayshift.burn.bad", metric.WithDescription("Bad requests among these."))
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		now := time.Now()
		for _, window := range []time.Duration{burn.ShortWindow, burn.LongWindow} {
			for s, c := range tracker.Window(now, window) {
				labels := metric.WithAttributes(
					attribute.String("service", s.Service), attribute.String("team", s.Team),
					attribute.String("shift", s.Shift), attribute.String("window", window.String()),
				)
				o.ObserveInt64(total, c.Total, labels)
				o.ObserveInt64(bad, c.Bad, labels)
			}
		}
		return nil
	}, total, bad)
	return merry.Wrap(err)
}

// RegisterGauge registers a gauge without labels. It calls read whenever the metrics are collected.
func (m *Meter) RegisterGauge(name, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return merry.Wrap(err)
}

// ServeHTTP responds with all metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }
