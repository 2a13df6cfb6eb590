// Package roll moves services to new backend versions, as ordered by operators in the platform's store. Every host
// sends the share of requests given by the stored stage to the new version and compares the outcomes of both versions.
// A stage is the stored progress of a move. The leader of a service writes the next stage, but only if nobody else has
// changed it, so that two hosts that both act as leader do not overwrite each other's stages.
package roll

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/ticker"
	"jayshift/io/watch"
)

const (
	tickPeriod        = 250 * time.Millisecond
	msPerRunTimeRatio = 100.0 // milliseconds recorded as evidence for a request attempt whose run time was as expected
)

// Deps holds the dependencies of Rollouts.
type Deps struct {
	Store    *store.Store
	Watch    *watch.Watch
	Log      *slog.Logger
	Gate     *canary.Gate
	Evidence *canary.Evidence
	// Encode returns the key and value of a move's status, which operators read in the store.
	Encode func(watch.MoveStatus) (key string, value []byte, err error)
	// IsLeader reports whether this host writes the stages of the service's moves.
	IsLeader func(ident.Service) bool
	// Converged reports whether all hosts have read the store up to the revision and run no requests of the service on
	// versions other than to.
	Converged func(service ident.Service, to ident.Version, revision ident.Revision) bool
	// Broadcast sends a frame to all linked peers and returns for how many it was queued.
	Broadcast func(f wire.Frame) int
}

// Rollouts controls the moves of all services at this host.
type Rollouts struct {
	deps Deps

	mu              sync.Mutex
	currentVersions map[ident.Service]ident.Version // version of each service, apart from a running move
	moves           map[ident.Service]*move
}

// move is the state of one service's move at this host.
type move struct {
	order         watch.MoveOrder
	firstRevision ident.Revision  // of the order when the move began; the order may have been written again since
	step          canary.Step     // share that this host applies, and since when
	fault         string          // reason why the version is bad, or empty
	endState      watch.MoveState // done or reverted once the stored status says so, or empty
}

// ended reports whether the stored status says that the move is done or reverted.
func (m *move) ended() bool { return m.endState != "" }

// New returns a Rollouts without moves.
func New(deps Deps) *Rollouts {
	return &Rollouts{deps: deps, currentVersions: map[ident.Service]ident.Version{}, moves: map[ident.Service]*move{}}
}

// Run calls Tick every tickPeriod until the context ends.
func (r *Rollouts) Run(ctx context.Context) {
	ticker.Every(ctx, tickPeriod, func() { r.Tick(ctx, time.Now()) })
}

// Version returns the version for the next request of the service and counts that request at the gate. It returns an
// empty version if none is known.
func (r *Rollouts) Version(service ident.Service) ident.Version {
	if version, ok := r.deps.Gate.Pass(service); ok {
		return version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentVersions[service]
}

// MoveTarget returns the version that the service is moving to, or false if no move is running.
func (r *Rollouts) MoveTarget(service ident.Service) (ident.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[service]
	if m == nil || m.ended() {
		return "", false
	}
	return m.order.To, true
}

// RecordOutcome records the outcome of a request attempt as evidence while a move of its service is running. The
// runTimeRatio is the run time divided by the expected one. For a successful attempt, 0 means that it is unknown and
// counts as 1.
func (r *Rollouts) RecordOutcome(now time.Time, s roster.Server, route ident.Route, failed bool, runTimeRatio float64) {
	if _, moving := r.MoveTarget(s.Service); !moving {
		return
	}
	key := canary.SeriesKey{Service: s.Service, Version: s.Version, Route: string(route)}
	if !failed && runTimeRatio == 0 {
		runTimeRatio = 1
	}
	r.deps.Evidence.Add(now, key, failed, time.Duration(runTimeRatio*msPerRunTimeRatio*float64(time.Millisecond)))
}

// SetServers determines the current version of each service from its backend servers, ignoring draining ones. A service
// stays on its version until a move to another one is done or no server of that version is left.
func (r *Rollouts) SetServers(entries []roster.Entry) {
	counts := map[ident.Service]map[ident.Version]int{}
	for _, e := range entries {
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
		if r.applyDoneMove(service) || versions[r.currentVersions[service]] > 0 {
			continue
		}
		r.currentVersions[service] = r.mostCommon(service, versions)
	}
}

// applyDoneMove reports whether the service's last move is done, and if so makes its target the current version. The
// caller must hold r.mu.
func (r *Rollouts) applyDoneMove(service ident.Service) bool {
	status, ok := r.deps.Watch.MoveStatus(service)
	if !ok || status.State != watch.MoveDone {
		return false
	}
	if order, ok := r.orderFor(service); ok && !status.Revision.FollowsInEra(order.Revision) {
		return false
	}
	r.currentVersions[service] = status.To
	return true
}

// orderFor returns the order to move the service.
func (r *Rollouts) orderFor(service ident.Service) (watch.MoveOrder, bool) {
	for _, o := range r.deps.Watch.Orders() {
		if o.Service == service {
			return o, true
		}
	}
	return watch.MoveOrder{}, false
}

// mostCommon returns the version that most servers run, and the first in alphabetical order of equally common ones. If
// there are several versions, it excludes the one that the service is ordered to move to, which may have been reverted.
func (r *Rollouts) mostCommon(service ident.Service, versions map[ident.Version]int) ident.Version {
	excluded := ident.Version("")
	if order, ok := r.orderFor(service); ok {
		excluded = order.To
	}
	var best ident.Version
	for version, n := range versions {
		if version == excluded && len(versions) > 1 {
			continue
		}
		if best == "" || n > versions[best] || n == versions[best] && version < best {
			best = version
		}
	}
	return best
}

// Tick updates all moves, checks their evidence and sets the gates. The leader of a service also advances its move.
func (r *Rollouts) Tick(ctx context.Context, now time.Time) {
	for _, order := range r.deps.Watch.Orders() {
		m := r.updateMove(order)
		write := r.restate
		if !m.ended() {
			r.checkEvidence(now, m)
			r.setGate(now, m)
			write = r.advance
		}
		if !r.deps.IsLeader(order.Service) {
			continue
		}
		if err := write(ctx, now, m); err != nil && !errors.Is(err, store.ErrConflict) {
			r.deps.Log.Warn("move not advanced", "service", string(order.Service), "error", err.Error())
		}
	}
}

// updateMove returns the state of the move that the order asks for. It creates the state for a new order, and ends the
// move when the stored status says so.
func (r *Rollouts) updateMove(order watch.MoveOrder) *move {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[order.Service]
	switch {
	case m != nil && m.order.Revision == order.Revision:
	case m != nil && r.isRewritten(m.order, order):
		r.deps.Log.Info("order written again after a restore of the store", "service", string(order.Service), "to", string(order.To),
			"revision", int64(order.Revision), "revision-before", int64(m.order.Revision))
		m.order = order
	default:
		m = &move{order: order, firstRevision: order.Revision}
		r.moves[order.Service] = m
		r.deps.Evidence.Reset(order.Service, order.To)
	}
	status, ok := r.deps.Watch.MoveStatus(order.Service)
	if ok && status.Revision.FollowsInEra(order.Revision) && status.To == order.To && status.State != watch.MoveRunning && !m.ended() {
		m.endState = status.State
		r.deps.Gate.Close(order.Service)
		if status.State == watch.MoveDone {
			r.currentVersions[order.Service] = order.To
		}
		r.deps.Log.Info("move ended", "service", string(order.Service), "to", string(order.To), "state", string(status.State))
	}
	return m
}

// isRewritten reports whether an order is one that is known already and was written again after a restore of the store. A
// second order for the same version that was given in that time looks the same: it is taken as the first one, so that a
// version that was found bad gets no requests.
func (r *Rollouts) isRewritten(known, order watch.MoveOrder) bool {
	if known.To != order.To || known.Within != order.Within {
		return false
	}
	return known.Revision.Era() < order.Revision.Era() || r.deps.Watch.Rewriting()
}

// setGate sets the gate to the stored share, or closes it if there is no stage, the version is bad or the move was
// reverted.
func (r *Rollouts) setGate(now time.Time, m *move) {
	s, ok := r.stage(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || m.fault != "" || s.State == string(watch.MoveReverted) {
		r.deps.Gate.Close(m.order.Service)
		return
	}
	if s.Share != m.step.Share || m.step.Since.IsZero() {
		m.step = canary.Step{Share: s.Share, Since: now}
	}
	r.deps.Gate.Set(m.order.Service, m.order.To, s.Share)
}

// checkEvidence adds a fault to the move if the evidence shows that the version is bad. It sends a known fault to the
// peers on every call.
func (r *Rollouts) checkEvidence(now time.Time, m *move) {
	r.mu.Lock()
	reason := m.fault
	r.mu.Unlock()
	if reason == "" {
		if reason = canary.Judge(r.evidence(now, m)); reason == "" {
			return
		}
	}
	t := wire.Trip{Service: string(m.order.Service), Version: string(m.order.To), Reason: reason, Attempt: attemptID(m.order)}
	r.AddFault(t)
	r.deps.Broadcast(wire.Frame{Trip: &t})
}

// evidence returns the outcomes by route of the service's current version (baseline) and of the move's target
// (candidate).
func (r *Rollouts) evidence(now time.Time, m *move) (baseline, candidate map[string]canary.Series) {
	r.mu.Lock()
	current := r.currentVersions[m.order.Service]
	r.mu.Unlock()
	baseline = r.deps.Evidence.ByRoute(now, m.order.Service, current)
	return baseline, r.deps.Evidence.ByRoute(now, m.order.Service, m.order.To)
}

// attemptID identifies the move that an order starts, by the order's version and store revision. Another order for the
// same version has another id.
func attemptID(o watch.MoveOrder) string {
	return string(o.To) + " " + strconv.FormatInt(int64(o.Revision), 10)
}

// AddFault records that the version of a running move is bad, as found by this host or a peer, and closes the gate. No
// later request is sent to the version. Faults of moves that other orders started are ignored.
func (r *Rollouts) AddFault(t wire.Trip) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[ident.Service(t.Service)]
	if m == nil || attemptID(m.order) != t.Attempt || m.fault != "" {
		return
	}
	m.fault = t.Reason
	r.deps.Gate.Close(m.order.Service)
	r.deps.Log.Warn("backend version tripped", "service", t.Service, "version", t.Version, "reason", t.Reason)
}
