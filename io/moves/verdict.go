package moves

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

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

// startMove writes the first verdict. A new version goes on trial with the shift's trial share, or canary.DefaultShare if it has none.
// A service that is on the version already gets a share of 1.
func (m *Moves) startMove(ctx context.Context, s *config.Snapshot, shift config.Shift, attempt string) error {
	v := wire.Verdict{State: Pending, Attempt: attempt, Shares: map[string]float64{}, Trials: map[string]int{}, Hosts: m.listHosts()}
	for service, version := range shift.Versions {
		if current, ok := s.Service(ident.Service(service)); ok && current.Version == version {
			v.Shares[service] = 1
			continue
		}
		v.Shares[service] = trialShare(shift)
		v.Trials[service] = 1
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
	next := wire.Verdict{State: Pending, Attempt: attempt, Shares: map[string]float64{}, Trials: map[string]int{}}
	changed, done := false, true
	for service, version := range shift.Versions {
		share, ended := m.nextShare(now, attempt, ident.Service(service), ident.Version(version), old, deadline)
		next.Shares[service] = share
		grown := share != old.Shares[service]
		if list := old.Trials[service]; list > 0 && !grown {
			next.Trials[service] = list
		}
		changed = changed || grown
		done = done && ended
	}
	changed = m.updateHosts(now, shift, old, &next) || changed
	if done {
		next.State = Done
		next.Reason = "all services are on the wanted versions"
	}
	return next, changed || done
}

// nextShare returns the next share of a service's new version, and whether its move is done. A service that was on the
// version from the start is done.
func (m *Moves) nextShare(now time.Time, attempt string, service ident.Service, to ident.Version, old wire.Verdict, deadline time.Time) (float64, bool) {
	share := old.Shares[string(service)]
	if current, ok := m.deps.Snapshot().Service(service); ok && current.Version == string(to) {
		return 1, true
	}
	step := m.currentStep(now, attempt, string(service), share)
	o := m.outcomes(now, service, to)
	o.Whole = share >= 1
	o.Gone = o.Gone || o.Whole
	return canary.Next(now, step, deadline, canary.Prove(o, canary.Standard{}))
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
