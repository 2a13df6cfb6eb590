// Package canary implements the canary analysis for moving a service to a new backend version: it compares the outcomes
// of the new version with those of the old one, and decides which share of the requests the new version gets.
package canary

import (
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	maxSeries  = 256 // when reached, new routes are counted together as otherRoute
	otherRoute = "other"
)

// SeriesKey identifies the requests of one route to one version of a service.
type SeriesKey struct {
	Service ident.Service
	Version ident.Version
	Route   string
}

// Evidence holds the request outcomes of this host and its peers by service, version and route.
type Evidence struct {
	mu      sync.Mutex
	series  map[SeriesKey]*Series // of all hosts
	pending map[SeriesKey]*Tally  // of this host, not sent to its peers yet
}

// NewEvidence returns an Evidence without outcomes.
func NewEvidence() *Evidence {
	return &Evidence{series: map[SeriesKey]*Series{}, pending: map[SeriesKey]*Tally{}}
}

// Add records the outcome and latency of one request of this host.
func (e *Evidence) Add(now time.Time, key SeriesKey, failed bool, latency time.Duration) {
	ms := float64(latency) / float64(time.Millisecond)
	tally := Tally{Requests: 1, LatencySum: ms}
	if failed {
		tally.Failures = 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key = e.limitRoutes(key)
	e.record(now, key, tally)
	if _, ok := e.pending[key]; !ok {
		e.pending[key] = &Tally{}
	}
	e.pending[key].add(tally)
}

// limitRoutes replaces the route by otherRoute when the key is new and the number of series has reached maxSeries.
func (e *Evidence) limitRoutes(key SeriesKey) SeriesKey {
	if _, ok := e.series[key]; ok || len(e.series) < maxSeries {
		return key
	}
	key.Route = otherRoute
	return key
}

func (e *Evidence) record(now time.Time, key SeriesKey, t Tally) {
	series, ok := e.series[key]
	if !ok {
		series = &Series{}
		e.series[key] = series
	}
	series.Add(now, t)
}

// TakePending returns this host's outcomes since the last call, to be sent to its peers.
func (e *Evidence) TakePending() []wire.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]wire.Evidence, 0, len(e.pending))
	for key, t := range e.pending {
		list = append(list, toWire(key, *t))
	}
	clear(e.pending)
	return list
}

// Merge adds the outcomes of a peer.
func (e *Evidence) Merge(now time.Time, list []wire.Evidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range list {
		key, t := fromWire(w)
		e.record(now, e.limitRoutes(key), t)
	}
}

// ByRoute returns the outcomes of one version by route. All series are advanced to now, so that their slots can be
// compared.
func (e *Evidence) ByRoute(now time.Time, service ident.Service, version ident.Version) map[string]Series {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]Series{}
	for key, series := range e.series {
		if key.Service == service && key.Version == version {
			series.advance(now)
			out[key.Route] = *series
		}
	}
	return out
}

// Reset removes the outcomes of a version, before a new attempt to move the service to it.
func (e *Evidence) Reset(service ident.Service, version ident.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.series {
		if key.Service == service && key.Version == version {
			delete(e.series, key)
		}
	}
}
