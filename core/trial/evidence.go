// Package trial moves a service to a new backend version in judged steps, or takes the move back.
package trial

import (
	"math"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	evidenceWindow = 10 * time.Second // time constant of the outcome counts
	maxRoutes      = 256              // routes told apart in all; more are counted together
	otherRoutes    = "other"
)

// Subject is one version of a service on one route.
type Subject struct {
	Service ident.Service
	Version ident.Version
	Route   string
}

// Tally counts outcomes, exponentially forgetting.
type Tally struct {
	Requests float64
	Failures float64
	Latency  float64 // sum, in milliseconds
	Squares  float64 // sum of squares
	at       time.Time
}

func (t *Tally) decay(now time.Time) {
	d := now.Sub(t.at)
	if d <= 0 {
		return
	}
	keep := math.Exp(-float64(d) / float64(evidenceWindow))
	t.Requests *= keep
	t.Failures *= keep
	t.Latency *= keep
	t.Squares *= keep
	t.at = now
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Latency += o.Latency
	t.Squares += o.Squares
}

// Mean returns the mean latency in milliseconds.
func (t Tally) Mean() float64 {
	if t.Requests == 0 {
		return 0
	}
	return t.Latency / t.Requests
}

// variance returns the variance of the latency.
func (t Tally) variance() float64 {
	if t.Requests < 2 {
		return 0
	}
	m := t.Mean()
	return max(t.Squares/t.Requests-m*m, 0)
}

// Evidence gathers the outcomes of this host and of its peers.
type Evidence struct {
	mu      sync.Mutex
	fleet   map[Subject]*Tally
	pending map[Subject]*Tally
}

// NewEvidence returns evidence without outcomes.
func NewEvidence() *Evidence {
	return &Evidence{fleet: map[Subject]*Tally{}, pending: map[Subject]*Tally{}}
}

// Add counts the outcome of one request at this host.
func (e *Evidence) Add(now time.Time, s Subject, failed bool, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	one := Tally{Requests: 1, Latency: ms, Squares: ms * ms}
	if failed {
		one.Failures = 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s = e.bounded(s)
	e.into(e.fleet, now, s, one)
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

func (e *Evidence) into(m map[Subject]*Tally, now time.Time, s Subject, t Tally) {
	sum, ok := m[s]
	if !ok {
		sum = &Tally{at: now}
		m[s] = sum
	}
	sum.decay(now)
	sum.add(t)
}

// Drain returns this host's outcomes since the last call, for its peers.
func (e *Evidence) Drain() []wire.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]wire.Evidence, 0, len(e.pending))
	for s, t := range e.pending {
		list = append(list, wire.Evidence{
			Service: string(s.Service), Version: string(s.Version), Route: s.Route,
			Requests: int(t.Requests), Failures: int(t.Failures), LatencyMs: t.Latency, LatencySquares: t.Squares,
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
		t := Tally{Requests: float64(w.Requests), Failures: float64(w.Failures), Latency: w.LatencyMs, Squares: w.LatencySquares}
		e.into(e.fleet, now, e.bounded(s), t)
	}
}

// Routes returns the tallies of one version by route.
func (e *Evidence) Routes(now time.Time, service ident.Service, version ident.Version) map[string]Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]Tally{}
	for s, t := range e.fleet {
		if s.Service == service && s.Version == version {
			t.decay(now)
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
