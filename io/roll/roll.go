// Package roll moves services to new backend versions as operators order it in the platform's store. Every host follows
// the stated share and judges the version; the host that comes first for a service states the next step. Steps are
// written under the condition that nobody stated another one, so two hosts that both lead do no harm.
package roll

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/pulse"
	"jayshift/io/store"
	"jayshift/io/watch"
)

const (
	tickPause  = 250 * time.Millisecond
	ratioScale = 100.0 // milliseconds that evidence states for an answer that took as long as expected
)

// Seams are what moves need from the rest of the process.
type Seams struct {
	Store    *store.Store
	Watch    *watch.Watch
	Log      *slog.Logger
	Gate     *trial.Gate
	Evidence *trial.Evidence
	// Encode returns the key and value under which operators read how a move stands.
	Encode func(watch.MoveStatus) (key string, value []byte, err error)
	// Leads tells whether this host is the one that states the steps of the service.
	Leads func(ident.Service) bool
	// Settled tells whether all hosts know the store up to the revision and run nothing on other versions.
	Settled   func(service ident.Service, to ident.Version, revision ident.Revision) bool
	Broadcast func(f wire.Frame) int
}

// Rolls follows the moves of all services.
type Rolls struct {
	seams Seams

	mu    sync.Mutex
	bases map[ident.Service]ident.Version // version that a service is on
	moves map[ident.Service]*move
}

// move is what this host knows of the move of one service.
type move struct {
	order   watch.MoveOrder
	seen    time.Time  // when the order was first seen
	step    trial.Step // share in force and since when
	tripped string     // why the version is bad
	ended   bool
}

// New returns rolls without moves.
func New(seams Seams) *Rolls {
	return &Rolls{seams: seams, bases: map[ident.Service]ident.Version{}, moves: map[ident.Service]*move{}}
}

// Run follows the moves until the context ends.
func (r *Rolls) Run(ctx context.Context) {
	pulse.Every(ctx, tickPause, func() { r.Tick(ctx, time.Now()) })
}

// Version returns the version that the next request of the service goes to, empty while none is known.
func (r *Rolls) Version(service ident.Service) ident.Version {
	if version, ok := r.seams.Gate.Pass(service); ok {
		return version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bases[service]
}

// Moving returns the version that the service moves to, while it moves.
func (r *Rolls) Moving(service ident.Service) (ident.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[service]
	if m == nil || m.ended {
		return "", false
	}
	return m.order.To, true
}

// Judge counts how an attempt ended while its service moves.
func (r *Rolls) Judge(now time.Time, s roster.Server, route ident.Route, failed bool, ratio float64) {
	if _, moving := r.Moving(s.Service); !moving {
		return
	}
	subject := trial.SeriesKey{Service: s.Service, Version: s.Version, Route: string(route)}
	if !failed && ratio == 0 {
		ratio = 1
	}
	r.seams.Evidence.Add(now, subject, failed, time.Duration(ratio*ratioScale*float64(time.Millisecond)))
}

// SetServers works out which version each service is on, from the servers that are there. A service stays on its
// version until a move away from it is done, or no server of that version is left.
func (r *Rolls) SetServers(list []roster.Entry) {
	counts := map[ident.Service]map[ident.Version]int{}
	for _, e := range list {
		if e.Draining {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = map[ident.Version]int{}
		}
		counts[e.Service][e.Version]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, versions := range counts {
		if r.done(service) || versions[r.bases[service]] > 0 {
			continue
		}
		r.bases[service] = r.mostCommon(service, versions)
	}
}

// done tells whether a move has ended well, and sets the service's version. The lock is held.
func (r *Rolls) done(service ident.Service) bool {
	v, ok := r.seams.Watch.MoveStatus(service)
	if !ok || v.State != watch.MoveDone {
		return false
	}
	if order, ok := r.order(service); ok && order.Revision > v.Revision {
		return false
	}
	r.bases[service] = v.To
	return true
}

func (r *Rolls) order(service ident.Service) (watch.MoveOrder, bool) {
	for _, o := range r.seams.Watch.Orders() {
		if o.Service == service {
			return o, true
		}
	}
	return watch.MoveOrder{}, false
}

// mostCommon returns the version that most servers run, besides one that a move leads to or that was taken back.
func (r *Rolls) mostCommon(service ident.Service, versions map[ident.Version]int) ident.Version {
	avoid := ident.Version("")
	if order, ok := r.order(service); ok {
		avoid = order.To
	}
	var best ident.Version
	for version, n := range versions {
		if version == avoid && len(versions) > 1 {
			continue
		}
		if best == "" || n > versions[best] || n == versions[best] && version < best {
			best = version
		}
	}
	return best
}

// Tick does one round at this host.
func (r *Rolls) Tick(ctx context.Context, now time.Time) {
	for _, order := range r.seams.Watch.Orders() {
		m := r.follow(now, order)
		if m.ended {
			continue
		}
		r.judge(now, m)
		r.setGate(now, m)
		if r.seams.Leads(order.Service) {
			if err := r.lead(ctx, now, m); err != nil && !errors.Is(err, store.ErrConflict) {
				r.seams.Log.Warn("move not advanced", "service", string(order.Service), "error", err.Error())
			}
		}
	}
}

// follow returns what is known of the move that an order asks for.
func (r *Rolls) follow(now time.Time, order watch.MoveOrder) *move {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[order.Service]
	if m == nil || m.order.Revision != order.Revision {
		m = &move{order: order, seen: now}
		r.moves[order.Service] = m
		r.seams.Evidence.Reset(order.Service, order.To)
	}
	v, ok := r.seams.Watch.MoveStatus(order.Service)
	if ok && v.Revision > order.Revision && v.To == order.To && v.State != watch.MoveRunning && !m.ended {
		m.ended = true
		r.seams.Gate.Close(order.Service)
		if v.State == watch.MoveDone {
			r.bases[order.Service] = order.To
		}
		r.seams.Log.Info("move ended", "service", string(order.Service), "to", string(order.To), "state", string(v.State))
	}
	return m
}

// setGate lets the stated share through, and nothing once the version has proved bad.
func (r *Rolls) setGate(now time.Time, m *move) {
	s, ok := r.stage(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || m.tripped != "" || s.State == string(watch.MoveReverted) {
		r.seams.Gate.Close(m.order.Service)
		return
	}
	if s.Share != m.step.Share || m.step.Since.IsZero() {
		m.step = trial.Step{Share: s.Share, Since: now}
	}
	r.seams.Gate.Set(m.order.Service, m.order.To, s.Share)
}

// judge trips the move when the evidence is against the version, and tells the peers.
func (r *Rolls) judge(now time.Time, m *move) {
	r.mu.Lock()
	reason := m.tripped
	r.mu.Unlock()
	if reason == "" {
		if reason = trial.Judge(r.evidence(now, m)); reason == "" {
			return
		}
	}
	t := wire.Trip{Service: string(m.order.Service), Version: string(m.order.To), Reason: reason, Attempt: attempt(m.order)}
	r.Trip(t)
	r.seams.Broadcast(wire.Frame{Trip: &t})
}

// evidence returns the outcomes of the version that the service is on, and of the one that it moves to.
func (r *Rolls) evidence(now time.Time, m *move) (before, after map[string]trial.Series) {
	r.mu.Lock()
	base := r.bases[m.order.Service]
	r.mu.Unlock()
	before = r.seams.Evidence.ByRoute(now, m.order.Service, base)
	return before, r.seams.Evidence.ByRoute(now, m.order.Service, m.order.To)
}

func attempt(o watch.MoveOrder) string {
	return string(o.To) + " " + time.Duration(o.Revision).String()
}

// Trip takes in a verdict against a version, from here or from a peer. It holds from the next request on.
func (r *Rolls) Trip(t wire.Trip) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[ident.Service(t.Service)]
	if m == nil || attempt(m.order) != t.Attempt || m.tripped != "" {
		return
	}
	m.tripped = t.Reason
	r.seams.Gate.Close(m.order.Service)
	r.seams.Log.Warn("backend version tripped", "service", t.Service, "version", t.Version, "reason", t.Reason)
}
