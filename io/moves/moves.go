// Package moves controls the moves of services to new backend versions. Every host sends the share of requests given by
// the stored verdict to the new version and compares the outcomes of both versions. The host with the controller lease
// writes the verdicts.
package moves

import (
	"context"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"

	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/ticker"
)

// States of a verdict.
const (
	Pending  = "pending"
	InForce  = "in-force"
	Done     = "done"
	Reverted = "reverted"
)

const tickPeriod = 250 * time.Millisecond

// Deps holds the dependencies of Moves.
type Deps struct {
	Store    *store.Store
	Log      *slog.Logger
	Snapshot func() *config.Snapshot
	// Verdict returns the stored verdict on a shift's moves, as this host last read it.
	Verdict  func(shift string) (wire.Verdict, bool)
	Gate     *canary.Gate
	Evidence *canary.Evidence
	Self     func() wire.TrialHost
	// Hosts returns the active hosts of the fleet, including this one.
	Hosts func() []wire.TrialHost
	// Broadcast sends a frame to all linked peers and returns for how many it was queued.
	Broadcast func(f wire.Frame) int
}

// Moves applies the verdicts on all moves at this host and, while it holds the controller lease, updates them.
type Moves struct {
	deps Deps

	mu       sync.Mutex
	faults   map[string]wire.Trip           // by moveKey
	steps    map[string]canary.Step         // by moveKey
	attempts map[ident.Service]string       // attempt at the move that the stored evidence belongs to
	trials   map[ident.Service]canary.Entry // this host's use of the lists of hosts
}

// New returns a Moves without faults.
func New(deps Deps) *Moves {
	return &Moves{deps: deps, faults: map[string]wire.Trip{}, steps: map[string]canary.Step{}, attempts: map[ident.Service]string{}, trials: map[ident.Service]canary.Entry{}}
}

// AttemptID identifies one attempt at a shift's moves, not an attempt of a request. A change of the shift's versions or
// deadline makes a new attempt.
func AttemptID(s config.Shift) string {
	var parts []string
	for service, version := range s.Versions {
		parts = append(parts, service+"="+version)
	}
	sort.Strings(parts)
	return string(s.Name) + " " + strings.Join(parts, " ") + " " + s.By
}

// moveKey identifies the move of one service in an attempt at a shift's moves.
func moveKey(attempt string, service ident.Service) string { return attempt + "\x00" + string(service) }

// Run calls Tick every tickPeriod until the context ends.
func (m *Moves) Run(ctx context.Context) {
	ticker.Every(ctx, tickPeriod, func() { m.Tick(time.Now()) })
}

// Tick sends this host's new evidence to the peers, checks the evidence of all moves and updates the gate.
func (m *Moves) Tick(now time.Time) {
	if list := m.deps.Evidence.TakePending(); len(list) > 0 {
		m.deps.Broadcast(wire.Frame{Evidence: list})
	}
	s := m.deps.Snapshot()
	for _, shift := range s.Shifts() {
		for service, version := range shift.Versions {
			m.applyShare(now, shift, ident.Service(service), ident.Version(version))
		}
	}
}

// applyShare sets the gate of one service to the share of the stored verdict. It closes the gate if there is no verdict
// on this attempt at the move, if the move was reverted, or if this host has recorded a fault.
func (m *Moves) applyShare(now time.Time, shift config.Shift, service ident.Service, version ident.Version) {
	attempt := AttemptID(shift)
	verdict, ok := m.deps.Verdict(string(shift.Name))
	if !ok || verdict.Attempt != attempt {
		m.deps.Gate.Close(service)
		return
	}
	if m.startAttempt(service, attempt) {
		m.deps.Evidence.Reset(service, version)
	}
	if verdict.State == Pending {
		m.checkEvidence(now, attempt, service, version)
	}
	if verdict.State == Reverted || m.hasFault(attempt, service) {
		m.deps.Gate.Close(service)
		return
	}
	share := verdict.Shares[string(service)]
	m.currentStep(now, attempt, string(service), share) // records the time at which the share is first applied
	if list := verdict.Trials[string(service)]; list > 0 && verdict.State == Pending {
		id := canary.TrialID{Move: attempt, List: list}
		m.deps.Gate.SetTrial(now, service, version, id, m.allowed(now, id, service, version, verdict), time.Time{})
		return
	}
	m.deps.Gate.Set(service, version, share, time.Time{})
}

// startAttempt records the attempt at the service's move and reports whether it is a new one.
func (m *Moves) startAttempt(service ident.Service, attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts[service] == attempt {
		return false
	}
	m.attempts[service] = attempt
	return true
}

// hasFault reports whether a fault of the new version is known.
func (m *Moves) hasFault(attempt string, service ident.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.faults[moveKey(attempt, service)]
	return ok
}

// checkEvidence records a fault and sends it to the peers if the evidence shows that the new version is bad. A known
// fault is sent again on every call.
func (m *Moves) checkEvidence(now time.Time, attempt string, service ident.Service, version ident.Version) {
	m.mu.Lock()
	fault, known := m.faults[moveKey(attempt, service)]
	m.mu.Unlock()
	if known {
		m.deps.Broadcast(wire.Frame{Trip: &fault})
		return
	}
	reason := canary.Judge(m.outcomes(now, service, version), canary.Standard{})
	if reason == "" {
		return
	}
	fault = wire.Trip{Service: string(service), Version: string(version), Reason: reason, Attempt: attempt}
	m.AddFault(fault)
	m.deps.Broadcast(wire.Frame{Trip: &fault})
}

// outcomes returns the outcomes of the service's current version (baseline) and of its new version (candidate).
func (m *Moves) outcomes(now time.Time, service ident.Service, to ident.Version) canary.Outcomes {
	o := canary.Outcomes{Candidate: m.deps.Evidence.ByRoute(now, service, to), Total: m.deps.Evidence.Total(service, to), Gone: true}
	s := m.deps.Snapshot()
	current, ok := s.Service(service)
	if !ok {
		return o
	}
	o.Baseline = m.deps.Evidence.ByRoute(now, service, ident.Version(current.Version))
	for _, server := range s.Servers(service) {
		if server.Version == ident.Version(current.Version) {
			o.Gone = false
		}
	}
	return o
}

// AddFault records that a new version was judged faulty by this host or a peer, and closes the gate, so that no further
// request is sent to that version.
func (m *Moves) AddFault(t wire.Trip) {
	m.mu.Lock()
	key := moveKey(t.Attempt, ident.Service(t.Service))
	_, known := m.faults[key]
	m.faults[key] = t
	m.mu.Unlock()
	if known {
		return
	}
	m.deps.Gate.Close(ident.Service(t.Service))
	m.deps.Log.Warn("backend version tripped", "service", t.Service, "version", t.Version, "reason", t.Reason)
}
