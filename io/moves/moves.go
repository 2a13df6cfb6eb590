// Package moves runs the moves of services to new backend versions: every host follows the stated share and
// watches for faults, and the host with the controller lease states the next step.
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

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/pulse"
	"jayshift/io/store"
)

// States of a verdict.
const (
	Pending  = "pending"
	InForce  = "in-force"
	Done     = "done"
	Reverted = "reverted"
)

const tickPeriod = 250 * time.Millisecond

// Seams are what moves need from the rest of the process.
type Seams struct {
	Store    *store.Store
	Log      *slog.Logger
	Snapshot func() *config.Snapshot
	Verdict  func(shift string) (wire.Verdict, bool)
	Gate     *trial.Gate
	Evidence *trial.Evidence
	// Broadcast sends a frame to all peers.
	Broadcast func(f wire.Frame) int
}

// Moves follows and, when leading, drives all moves.
type Moves struct {
	seams Seams

	mu    sync.Mutex
	trips map[string]wire.Trip // by attempt and service
	steps map[string]trial.Step
	tries map[ident.Service]string // attempt that the evidence at hand belongs to
}

// New returns moves without trips.
func New(seams Seams) *Moves {
	return &Moves{seams: seams, trips: map[string]wire.Trip{}, steps: map[string]trial.Step{}, tries: map[ident.Service]string{}}
}

// Attempt names one try at a shift's moves: new versions or a new deadline are a new try.
func Attempt(s config.Shift) string {
	var parts []string
	for service, version := range s.Versions {
		parts = append(parts, service+"="+version)
	}
	sort.Strings(parts)
	return string(s.Name) + " " + strings.Join(parts, " ") + " " + s.By
}

func tripKey(attempt string, service ident.Service) string { return attempt + "\x00" + string(service) }

// Run shares evidence, watches for faults and sets the gate, until the context ends.
func (m *Moves) Run(ctx context.Context) {
	pulse.Every(ctx, tickPeriod, func() { m.Tick(time.Now()) })
}

// Tick does one round at this host.
func (m *Moves) Tick(now time.Time) {
	if list := m.seams.Evidence.TakePending(); len(list) > 0 {
		m.seams.Broadcast(wire.Frame{Evidence: list})
	}
	s := m.seams.Snapshot()
	for _, shift := range s.Shifts() {
		for service, version := range shift.Versions {
			m.follow(now, shift, ident.Service(service), ident.Version(version))
		}
	}
}

// follow sets the gate of one service to the stated share, closed while nothing is stated or a fault has shown.
func (m *Moves) follow(now time.Time, shift config.Shift, service ident.Service, version ident.Version) {
	attempt := Attempt(shift)
	verdict, ok := m.seams.Verdict(string(shift.Name))
	if !ok || verdict.Attempt != attempt {
		m.seams.Gate.Close(service)
		return
	}
	if m.newTry(service, attempt) {
		m.seams.Evidence.Reset(service, version)
	}
	if verdict.State == Pending {
		m.judge(now, attempt, service, version)
	}
	if verdict.State == Reverted || m.tripped(attempt, service) {
		m.seams.Gate.Close(service)
		return
	}
	share := verdict.Shares[string(service)]
	m.stepOf(now, attempt, string(service), share) // the stay at a share counts from when it is followed
	m.seams.Gate.Set(service, version, share)
}

// newTry tells whether the service is seen under this attempt for the first time.
func (m *Moves) newTry(service ident.Service, attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tries[service] == attempt {
		return false
	}
	m.tries[service] = attempt
	return true
}

func (m *Moves) tripped(attempt string, service ident.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.trips[tripKey(attempt, service)]
	return ok
}

// judge trips the move at once when the evidence is against the new version, and tells the peers.
func (m *Moves) judge(now time.Time, attempt string, service ident.Service, version ident.Version) {
	m.mu.Lock()
	trip, known := m.trips[tripKey(attempt, service)]
	m.mu.Unlock()
	if known {
		m.seams.Broadcast(wire.Frame{Trip: &trip})
		return
	}
	reason := trial.Judge(m.evidence(now, service, version))
	if reason == "" {
		return
	}
	trip = wire.Trip{Service: string(service), Version: string(version), Reason: reason, Attempt: attempt}
	m.Trip(trip)
	m.seams.Broadcast(wire.Frame{Trip: &trip})
}

// evidence returns the outcomes of the version that the service is on, and of the one that it moves to.
func (m *Moves) evidence(now time.Time, service ident.Service, to ident.Version) (before, after map[string]trial.Series) {
	if from, ok := m.seams.Snapshot().Service(service); ok {
		before = m.seams.Evidence.ByRoute(now, service, ident.Version(from.Version))
	}
	return before, m.seams.Evidence.ByRoute(now, service, to)
}

// Trip takes in a verdict against a version, from here or from a peer. It holds from the next request on.
func (m *Moves) Trip(t wire.Trip) {
	m.mu.Lock()
	key := tripKey(t.Attempt, ident.Service(t.Service))
	_, known := m.trips[key]
	m.trips[key] = t
	m.mu.Unlock()
	if known {
		return
	}
	m.seams.Gate.Close(ident.Service(t.Service))
	m.seams.Log.Warn("backend version tripped", "service", t.Service, "version", t.Version, "reason", t.Reason)
}

// Lead states the next step of every move; it runs on the host with the controller lease.
func (m *Moves) Lead(ctx context.Context, now time.Time) {
	s := m.seams.Snapshot()
	for _, shift := range s.Shifts() {
		if len(shift.Versions) == 0 {
			continue
		}
		if err := m.drive(ctx, now, s, shift); err != nil {
			m.seams.Log.Warn("move not advanced", "shift", string(shift.Name), "error", err.Error())
		}
	}
}

// drive advances one shift's moves by at most one step.
func (m *Moves) drive(ctx context.Context, now time.Time, s *config.Snapshot, shift config.Shift) error {
	attempt := Attempt(shift)
	old, ok := m.seams.Verdict(string(shift.Name))
	if !ok || old.Attempt != attempt {
		return m.begin(ctx, s, shift, attempt)
	}
	if old.State != Pending {
		return nil
	}
	if reason := m.fault(shift, attempt); reason != "" {
		return m.state(ctx, shift, wire.Verdict{State: Reverted, Reason: reason, Attempt: attempt})
	}
	next, changed := m.advance(now, shift, attempt, old)
	if !changed {
		return nil
	}
	return m.state(ctx, shift, next)
}

// begin states the first share.
func (m *Moves) begin(ctx context.Context, s *config.Snapshot, shift config.Shift, attempt string) error {
	v := wire.Verdict{State: Pending, Attempt: attempt, Shares: map[string]float64{}}
	for service, version := range shift.Versions {
		share := shift.TrialShare
		if share <= 0 {
			share = trial.DefaultShare
		}
		if from, ok := s.Service(ident.Service(service)); ok && from.Version == version {
			share = 1
		}
		v.Shares[service] = share
	}
	return m.state(ctx, shift, v)
}

func (m *Moves) fault(shift config.Shift, attempt string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service := range shift.Versions {
		if t, ok := m.trips[tripKey(attempt, ident.Service(service))]; ok {
			return service + " " + t.Version + ": " + t.Reason
		}
	}
	return ""
}

// advance returns the verdict after the steps that are due; all services done make the move done.
func (m *Moves) advance(now time.Time, shift config.Shift, attempt string, old wire.Verdict) (wire.Verdict, bool) {
	by, err := time.Parse(time.RFC3339, shift.By)
	if err != nil {
		return old, false
	}
	next := wire.Verdict{State: Pending, Attempt: attempt, Shares: map[string]float64{}}
	changed, done := false, true
	for service, version := range shift.Versions {
		at := m.stepOf(now, attempt, service, old.Shares[service])
		judged := trial.MayAdvance(m.evidence(now, ident.Service(service), ident.Version(version)))
		share, ended := trial.Next(now, at, by, judged)
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

// stepOf returns since when this host has seen the share, which is now when it is asked for the first time.
func (m *Moves) stepOf(now time.Time, attempt, service string, share float64) trial.Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := tripKey(attempt, ident.Service(service))
	at, ok := m.steps[key]
	if !ok || at.Share != share {
		at = trial.Step{Share: share, Since: now}
		m.steps[key] = at
	}
	return at
}

// state writes a verdict, unless the shift has changed or another host stated something since.
func (m *Moves) state(ctx context.Context, shift config.Shift, v wire.Verdict) error {
	key := feed.VerdictKey(string(shift.Name))
	_, found, err := m.seams.Store.Txn(ctx, nil, nil, []string{key})
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
	_, _, err = m.seams.Store.Txn(ctx, []store.Compare{{Key: key, Revision: revision}}, []store.Write{{Key: key, Value: value}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err == nil {
		m.seams.Log.Info("move stated", "shift", string(shift.Name), "state", v.State, "reason", v.Reason)
	}
	return err
}
