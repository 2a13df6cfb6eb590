// Package moves controls the moves of services to new backend versions. Every host sends the share of requests given by
// the stored verdict to the new version and compares the outcomes of both versions. The host with the controller lease
// writes the verdicts.
package moves

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/feed"
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
	// Broadcast sends a frame to all linked peers and returns for how many it was queued.
	Broadcast func(f wire.Frame) int
}

// Moves applies the verdicts on all moves at this host and, while it holds the controller lease, updates them.
type Moves struct {
	deps Deps

	mu       sync.Mutex
	faults   map[string]wire.Trip     // by moveKey
	steps    map[string]canary.Step   // by moveKey
	attempts map[ident.Service]string // attempt at the move that the stored evidence belongs to
}

// New returns a Moves without faults.
func New(deps Deps) *Moves {
	return &Moves{deps: deps, faults: map[string]wire.Trip{}, steps: map[string]canary.Step{}, attempts: map[ident.Service]string{}}
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
	m.deps.Gate.Set(service, version, share)
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
	reason := canary.Judge(m.evidence(now, service, version))
	if reason == "" {
		return
	}
	fault = wire.Trip{Service: string(service), Version: string(version), Reason: reason, Attempt: attempt}
	m.AddFault(fault)
	m.deps.Broadcast(wire.Frame{Trip: &fault})
}

// evidence returns the outcomes of the service's current version (baseline) and of its new version (candidate), by
// route.
func (m *Moves) evidence(now time.Time, service ident.Service, to ident.Version) (baseline, candidate map[string]canary.Series) {
	if current, ok := m.deps.Snapshot().Service(service); ok {
		baseline = m.deps.Evidence.ByRoute(now, service, ident.Version(current.Version))
	}
	return baseline, m.deps.Evidence.ByRoute(now, service, to)
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

// UpdateVerdicts updates the verdicts on all moves. It must be called only on the host with the controller lease.
func (m *Moves) UpdateVerdicts(ctx context.Context, now time.Time) {
	s := m.deps.Snapshot()
	for _, shift := range s.Shifts() {
		if len(shift.Versions) == 0 {
			continue
		}
		if err := m.updateMove(ctx, now, s, shift); err != nil {
			m.deps.Log.Warn("move not advanced", "shift", string(shift.Name), "error", err.Error())
		}
	}
}

// updateMove writes the next verdict on one shift's moves, if it differs: it starts the moves, reverts them after a
// fault, or gives each service the share that canary.Next returns.
func (m *Moves) updateMove(ctx context.Context, now time.Time, s *config.Snapshot, shift config.Shift) error {
	attempt := AttemptID(shift)
	old, ok := m.deps.Verdict(string(shift.Name))
	if !ok || old.Attempt != attempt {
		return m.startMove(ctx, s, shift, attempt)
	}
	if old.State != Pending {
		return nil
	}
	if reason := m.faultReason(shift, attempt); reason != "" {
		return m.writeVerdict(ctx, shift, wire.Verdict{State: Reverted, Reason: reason, Attempt: attempt})
	}
	next, changed := m.advance(now, shift, attempt, old)
	if !changed {
		return nil
	}
	return m.writeVerdict(ctx, shift, next)
}

// startMove writes the first verdict. A new version gets the shift's trial share, or canary.DefaultShare if it has none.
// A service that is on the version already gets a share of 1.
func (m *Moves) startMove(ctx context.Context, s *config.Snapshot, shift config.Shift, attempt string) error {
	v := wire.Verdict{State: Pending, Attempt: attempt, Shares: map[string]float64{}}
	for service, version := range shift.Versions {
		share := shift.TrialShare
		if share <= 0 {
			share = canary.DefaultShare
		}
		if current, ok := s.Service(ident.Service(service)); ok && current.Version == version {
			share = 1
		}
		v.Shares[service] = share
	}
	return m.writeVerdict(ctx, shift, v)
}

// faultReason returns a description of a known fault of the shift's new versions, or an empty string.
func (m *Moves) faultReason(shift config.Shift, attempt string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service := range shift.Versions {
		if t, ok := m.faults[moveKey(attempt, ident.Service(service))]; ok {
			return service + " " + t.Version + ": " + t.Reason
		}
	}
	return ""
}

// advance returns the verdict with the next share of each service, and whether it differs from the old one. The state
// is Done when the moves of all services are done.
func (m *Moves) advance(now time.Time, shift config.Shift, attempt string, old wire.Verdict) (wire.Verdict, bool) {
	deadline, err := time.Parse(time.RFC3339, shift.By)
	if err != nil {
		return old, false
	}
	next := wire.Verdict{State: Pending, Attempt: attempt, Shares: map[string]float64{}}
	changed, done := false, true
	for service, version := range shift.Versions {
		step := m.currentStep(now, attempt, service, old.Shares[service])
		mayAdvance := canary.MayAdvance(m.evidence(now, ident.Service(service), ident.Version(version)))
		share, ended := canary.Next(now, step, deadline, mayAdvance)
		next.Shares[service] = share
		changed = changed || share != old.Shares[service]
		done = done && ended
	}
	if done {
		next.State = Done
		next.Reason = "all services are on the wanted versions"
	}
	return next, changed || done
}

// currentStep returns the share and the time at which this host first applied it to the move, which is now if the share
// is new.
func (m *Moves) currentStep(now time.Time, attempt, service string, share float64) canary.Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := moveKey(attempt, ident.Service(service))
	step, ok := m.steps[key]
	if !ok || step.Share != share {
		step = canary.Step{Share: share, Since: now}
		m.steps[key] = step
	}
	return step
}

// writeVerdict writes a verdict to the store. It does nothing if this attempt at the moves has ended already or if
// another host has written a verdict meanwhile.
func (m *Moves) writeVerdict(ctx context.Context, shift config.Shift, v wire.Verdict) error {
	key := feed.VerdictKey(string(shift.Name))
	_, found, err := m.deps.Store.Txn(ctx, nil, nil, []string{key})
	if err != nil {
		return err
	}
	revision := int64(0)
	if len(found) > 0 {
		revision = found[0].ModRevision
		var stored wire.Verdict
		if json.Unmarshal(found[0].Value, &stored) == nil && stored.Attempt == v.Attempt && stored.State != Pending {
			return nil
		}
	}
	value, err := json.Marshal(v)
	if err != nil {
		return merry.Wrap(err)
	}
	_, _, err = m.deps.Store.Txn(ctx, []store.Compare{{Key: key, Revision: revision}}, []store.Write{{Key: key, Value: value}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err == nil {
		m.deps.Log.Info("move stated", "shift", string(shift.Name), "state", v.State, "reason", v.Reason)
	}
	return err
}
