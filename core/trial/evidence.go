// Package trial moves a service to a new backend version in judged steps, or takes the move back.
package trial

import (
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	maxRoutes   = 256 // routes told apart in all; more are counted together
	otherRoutes = "other"
)

// Subject is one version of a service on one route.
type Subject struct {
	Service ident.Service
	Version ident.Version
	Route   string
}

// Evidence gathers the outcomes of this host and of its peers.
type Evidence struct {
	mu      sync.Mutex
	fleet   map[Subject]*Series
	pending map[Subject]*Tally
}

// NewEvidence returns evidence without outcomes.
func NewEvidence() *Evidence {
	return &Evidence{fleet: map[Subject]*Series{}, pending: map[Subject]*Tally{}}
}

// Add counts the outcome of one request at this host.
func (e *Evidence) Add(now time.Time, s Subject, failed bool, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	one := Tally{Requests: 1, Latency: ms}
	if failed {
		one.Failures = 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s = e.bounded(s)
	e.into(now, s, one)
	if _, ok := e.pending[s]; !ok {
		e.pending[s] = &Tally{}
	}
	e.pending[s].add(one)
}

// bounded counts routes beyond the limit together.
func (e *Evidence) bounded(s Subject) Subject {
	if _, ok := e.fleet[s]; ok || len(e.fleet) < maxRoutes {
		return s
	}
	s.Route = otherRoutes
	return s
}

func (e *Evidence) into(now time.Time, s Subject, t Tally) {
	series, ok := e.fleet[s]
	if !ok {
		series = &Series{}
		e.fleet[s] = series
	}
	series.Add(now, t)
}

// Drain returns this host's outcomes since the last call, for its peers.
func (e *Evidence) Drain() []wire.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]wire.Evidence, 0, len(e.pending))
	for s, t := range e.pending {
		list = append(list, wire.Evidence{
			Service: string(s.Service), Version: string(s.Version), Route: s.Route,
			Requests: int(t.Requests), Failures: int(t.Failures), LatencyMs: t.Latency,
		})
	}
	clear(e.pending)
	return list
}

// Merge counts a peer's outcomes.
func (e *Evidence) Merge(now time.Time, list []wire.Evidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range list {
		s := Subject{Service: ident.Service(w.Service), Version: ident.Version(w.Version), Route: w.Route}
		t := Tally{Requests: float64(w.Requests), Failures: float64(w.Failures), Latency: w.LatencyMs}
		e.into(now, e.bounded(s), t)
	}
}

// Routes returns the outcomes of one version by route, all turned to the given moment.
func (e *Evidence) Routes(now time.Time, service ident.Service, version ident.Version) map[string]Series {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]Series{}
	for s, t := range e.fleet {
		if s.Service == service && s.Version == version {
			t.turn(now)
			out[s.Route] = *t
		}
	}
	return out
}

// Forget drops the outcomes of a version, before a new attempt to move to it.
func (e *Evidence) Forget(service ident.Service, version ident.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.fleet {
		if s.Service == service && s.Version == version {
			delete(e.fleet, s)
		}
	}
}
