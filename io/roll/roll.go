// Package roll moves services to new backend versions, as ordered by operators in the platform's store. Every host
// sends the part of requests given by the stored stage to the new version and compares the outcomes of both versions.
// A stage is the stored progress of a move. The leader of a service writes the next stage, but only if nobody else has
// changed it, so that two hosts that both act as leader do not overwrite each other's stages.
//
// A new version begins on trial: the stage lists the hosts that share its requests, and all of them together send no more
// than canary.Trial permits. Once the outcomes prove the version, it gets a growing share, and in the end all requests.
package roll

import (
	"context"
	"errors"
	"log/slog"
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
	maxRunTimeRatio   = 2.0   // mean ratio above which a version is in trouble
	// permissionTime is the age of this host's copy of the store up to which it sends requests to a version that is being
	// moved to. A later copy may say that the version is bad, or that other hosts share its requests.
	permissionTime = 2 * time.Second
	// settleTime is how long a copy must have been that recent again: peers may know more than the store.
	settleTime = time.Second
)

// Deps holds the dependencies of Rollouts.
type Deps struct {
	Store    *store.Store
	Watch    *watch.Watch
	Log      *slog.Logger
	Gate     *canary.Gate
	Evidence *canary.Evidence
	Exposure canary.Exposure // of all hosts together to a version that is not proved
	Self     wire.TrialHost
	// Hosts returns the hosts of the fleet that may be on the list of a trial, including this one.
	Hosts func() []wire.TrialHost
	// Encode returns the key and value of a move's status, which operators read in the store.
	Encode func(watch.MoveStatus) (key string, value []byte, err error)
	// IsLeader reports whether this host writes the stages of the service's moves.
	IsLeader func(ident.Service) bool
	// Converged reports whether all hosts have read the store up to the revision and run no requests of the service on
	// versions other than to.
	Converged func(service ident.Service, to ident.Version, revision ident.Revision) bool
	// PeerVersion returns the version that peers take for the proved one of the service, or false if none names one.
	PeerVersion func(ident.Service) (ident.Version, bool)
	// Broadcast sends a frame to all linked peers and returns for how many it was queued.
	Broadcast func(f wire.Frame) int
}

// Rollouts controls the moves of all services at this host.
type Rollouts struct {
	deps Deps

	mu       sync.Mutex
	currents map[ident.Service]current
	moves    map[ident.Service]*move
}

// New returns a Rollouts without moves.
func New(deps Deps) *Rollouts {
	return &Rollouts{deps: deps, currents: map[ident.Service]current{}, moves: map[ident.Service]*move{}}
}

// Run calls Tick every tickPeriod until the context ends.
func (r *Rollouts) Run(ctx context.Context) {
	ticker.Every(ctx, tickPeriod, func() { r.Tick(ctx, time.Now()) })
}

// Choose returns the version for the next attempt of a request of the service, and counts a request that goes to a version
// on trial. A request that is sent again does not. It returns false if no version may get the request.
func (r *Rollouts) Choose(now time.Time, service ident.Service, repeated bool) (canary.Choice, bool) {
	if choice, ok := r.deps.Gate.Pass(now, service, repeated); ok {
		return choice, true
	}
	return r.ChooseProved(service)
}

// ChooseProved returns the version of the service that is not being moved to. It returns false if there is none.
func (r *Rollouts) ChooseProved(service ident.Service) (canary.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.currents[service]
	return canary.Choice{Version: c.version}, !c.none
}

// Return gives back the choice of a request that was not sent.
func (r *Rollouts) Return(service ident.Service, c canary.Choice) {
	if c.New {
		r.deps.Gate.Return(service, c.Version)
	}
}

// MaySend reports whether a request for which the choice was made earlier may still be sent.
func (r *Rollouts) MaySend(now time.Time, service ident.Service, c canary.Choice) bool {
	if !c.New || r.deps.Gate.Open(now, service, c.Version) {
		return true
	}
	proved, ok := r.ChooseProved(service)
	return ok && proved.Version == c.Version
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

// RecordStart records that a request attempt was sent while a move of its service is running, RecordDrop that one has ended
// in a way that shows nothing of the server.
func (r *Rollouts) RecordStart(now time.Time, s roster.Server, route ident.Route) {
	if _, moving := r.MoveTarget(s.Service); moving {
		r.deps.Evidence.Start(now, seriesKey(s, route))
	}
}

// RecordDrop is described at RecordStart.
func (r *Rollouts) RecordDrop(now time.Time, s roster.Server, route ident.Route) {
	if _, moving := r.MoveTarget(s.Service); moving {
		r.deps.Evidence.Drop(now, seriesKey(s, route))
	}
}

func seriesKey(s roster.Server, route ident.Route) canary.SeriesKey {
	return canary.SeriesKey{Service: s.Service, Version: s.Version, Route: string(route)}
}

// RecordOutcome records the outcome of a request attempt as evidence while a move of its service is running. The
// runTimeRatio is the run time divided by the expected one. For a successful attempt, 0 means that it is unknown and
// counts as 1.
func (r *Rollouts) RecordOutcome(now time.Time, s roster.Server, route ident.Route, result canary.Result, runTimeRatio float64) {
	if _, moving := r.MoveTarget(s.Service); !moving {
		return
	}
	if result == canary.Succeeded && runTimeRatio == 0 {
		runTimeRatio = 1
	}
	r.deps.Evidence.Add(now, seriesKey(s, route), result, time.Duration(runTimeRatio*msPerRunTimeRatio*float64(time.Millisecond)))
}

// RecordRefused records a request of the service that was refused because no backend server could take it.
func (r *Rollouts) RecordRefused(now time.Time, service ident.Service) {
	if _, moving := r.MoveTarget(service); moving {
		r.deps.Evidence.AddRefused(now, service)
	}
}

// Tick updates all moves, checks their evidence and sets the gates. The leader of a service also advances its move.
func (r *Rollouts) Tick(ctx context.Context, now time.Time) {
	r.adoptPeerVersions()
	for _, order := range r.deps.Watch.Orders() {
		m := r.updateMove(now, order)
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
