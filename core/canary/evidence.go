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

// refused is the version under which requests are counted that no backend server could take.
const refused = ident.Version("")

// Result is how a request to a backend server ended.
type Result int

// Results of requests.
const (
	Succeeded Result = iota
	Failed           // the answer is a failure
	Lost             // there is no complete answer
)

// Evidence holds the request outcomes of this host and its peers by service, version and route.
type Evidence struct {
	mu      sync.Mutex
	series  map[SeriesKey]*Series                      // of all hosts
	totals  map[ident.Service]map[ident.Version]*Tally // of all hosts since Reset, over all routes
	pending map[SeriesKey]*Tally                       // of this host, not sent to its peers yet
}

// NewEvidence returns an Evidence without outcomes.
func NewEvidence() *Evidence {
	return &Evidence{
		series: map[SeriesKey]*Series{}, totals: map[ident.Service]map[ident.Version]*Tally{}, pending: map[SeriesKey]*Tally{},
	}
}

// Start records that a request of this host was sent.
func (e *Evidence) Start(now time.Time, key SeriesKey) { e.add(now, key, Tally{Started: 1}) }

// Drop records that a request of this host has ended in a way that shows nothing of the server.
func (e *Evidence) Drop(now time.Time, key SeriesKey) { e.add(now, key, Tally{Ended: 1}) }

// Add records the outcome and latency of one request of this host.
func (e *Evidence) Add(now time.Time, key SeriesKey, result Result, latency time.Duration) {
	t := Tally{Requests: 1, Ended: 1, LatencySum: float64(latency) / float64(time.Millisecond)}
	switch result {
	case Failed:
		t.Failures = 1
	case Lost:
		t.Lost = 1
	case Succeeded:
	}
	e.add(now, key, t)
}

// AddRefused records that this host refused a request of the service because no backend server could take it.
func (e *Evidence) AddRefused(now time.Time, service ident.Service) {
	e.add(now, SeriesKey{Service: service, Version: refused}, Tally{Requests: 1})
}

func (e *Evidence) add(now time.Time, key SeriesKey, tally Tally) {
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
	if e.totals[key.Service] == nil {
		e.totals[key.Service] = map[ident.Version]*Tally{}
	}
	total := e.totals[key.Service][key.Version]
	if total == nil {
		total = &Tally{}
		e.totals[key.Service][key.Version] = total
	}
	total.add(t)
}

// Counts holds how many requests of a service have ended since Reset, as far as this host knows.
type Counts struct {
	Asked   float64 // all, including refused ones
	Reached float64 // sent to a backend server of any version
	Known   float64 // sent to the new version, whatever became of them
}

// Since returns the requests that have ended since earlier counts.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{Asked: c.Asked - earlier.Asked, Reached: c.Reached - earlier.Reached, Known: c.Known - earlier.Known}
}

// Counts returns the counts of the service with the given new version.
func (e *Evidence) Counts(service ident.Service, to ident.Version) Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	var c Counts
	for version, t := range e.totals[service] {
		c.Asked += t.Requests
		if version != refused {
			c.Reached += t.Requests
		}
		if version == to {
			c.Known = t.Ended
		}
	}
	return c
}

// Total returns the outcomes of a version since Reset, over all routes.
func (e *Evidence) Total(service ident.Service, version ident.Version) Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.totals[service][version]; t != nil {
		return *t
	}
	return Tally{}
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

// Reset removes the outcomes of a version and the totals of the service, before a new attempt to move the service to the
// version.
func (e *Evidence) Reset(service ident.Service, version ident.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.totals, service)
	for key := range e.series {
		if key.Service == service && key.Version == version {
			delete(e.series, key)
		}
	}
}
