package roll

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/watch"
)

// stage returns the stored stage of the move, or false if there is none for its order. An order that was written again after
// a restore of the store continues the move to its version that was ordered in an earlier era.
func (r *Rollouts) stage(m *move) (watch.Stage, bool) {
	s, ok := r.deps.Watch.Stage(m.order.Service)
	if !ok || s.To != string(m.order.To) {
		return s, false
	}
	ordered := ident.Revision(s.Order)
	return s, ordered == m.order.Revision || ordered == m.firstRevision || ordered.Era() < m.order.Revision.Era()
}

// advance writes the next stage of a move: the trial, a share, or the end of the move as reverted or done. A move is done
// when the share has reached 1 and all hosts have converged on the new version.
func (r *Rollouts) advance(ctx context.Context, now time.Time, m *move) error {
	s, ok := r.stage(m)
	r.mu.Lock()
	fault, step := m.fault, m.step
	r.mu.Unlock()
	next := s.Stage
	switch {
	case fault != "":
		return r.writeStage(ctx, m, reverted(next, fault), now)
	case !ok:
		return r.writeStage(ctx, m, r.firstStage(), now)
	case step.Since.IsZero():
		return nil
	}
	deadline := time.UnixMilli(int64(s.StartedMs)).Add(m.order.Within)
	proof := canary.Prove(r.outcomes(now, m), standard)
	share, done := canary.Next(now, step, deadline, proof)
	r.logHindrance(m, proof, share != s.Share || done)
	switch {
	case s.Revision.Era() < m.order.Revision.Era():
		return r.writeStage(ctx, m, next, now)
	case done && r.deps.Converged(m.order.Service, m.order.To, s.Revision):
		next.State, next.Reason = string(watch.MoveDone), "all requests are on the version"
		return r.writeStage(ctx, m, next, now)
	case share != s.Share:
		next.Share, next.Hosts, next.Trial = share, nil, nil
		return r.writeStage(ctx, m, next, now)
	case trialList(s) > 0 && proof.Hindrance == canary.TooFewOutcomes && r.needsList(now, m, s):
		// Hosts that are new on the list know less than the others, which matters while anything else hinders the proof.
		list := trialList(s) + 1
		next.Hosts, next.Trial = r.listHosts(), &list
		return r.writeStage(ctx, m, next, now)
	}
	return nil
}

// firstStage returns the stage in which a version is on trial.
func (r *Rollouts) firstStage() wire.Stage {
	list := 1
	return wire.Stage{Share: canary.DefaultShare, State: string(watch.MoveRunning), Hosts: r.listHosts(), Trial: &list}
}

// reverted returns the stage of a move that was given up for the reason.
func reverted(s wire.Stage, reason string) wire.Stage {
	s.Share, s.State, s.Reason = 0, string(watch.MoveReverted), reason
	s.Hosts, s.Trial = nil, nil
	return s
}

// logHindrance logs why the version does not get more requests when that changes.
func (r *Rollouts) logHindrance(m *move, proof canary.Proof, advances bool) {
	if advances || proof.Hindrance == m.hindrance {
		return
	}
	m.hindrance = proof.Hindrance
	r.deps.Log.Info("move held", "service", string(m.order.Service), "to", string(m.order.To), "share", m.step.Share,
		"reason", string(proof.Hindrance), "good-outcomes", proof.Outcomes)
}

// writeStage writes a stage of a move. In the same transaction it writes the status that operators read, if it changes.
// It returns store.ErrConflict if another host has changed either since it was read.
func (r *Rollouts) writeStage(ctx context.Context, m *move, next wire.Stage, now time.Time) error {
	service := m.order.Service
	old, known := r.stage(m)
	next.To, next.Order = string(m.order.To), int(m.order.Revision)
	next.StartedMs = int(now.UnixMilli())
	next.From = r.movedFrom(m)
	if known {
		next.StartedMs, next.From = old.StartedMs, old.From
	}
	stageValue, err := json.Marshal(next)
	if err != nil {
		return merry.Wrap(err)
	}
	state := watch.MoveState(next.State)
	status, _ := r.deps.Watch.MoveStatus(service)
	statusKey, statusValue, err := r.deps.Encode(watch.MoveStatus{Service: service, To: m.order.To, State: state})
	if err != nil {
		return err
	}
	stageKey := watch.StageKey(service)
	compares := []store.Compare{
		{Key: stageKey, Revision: int64(r.deps.Watch.StoredRevision(stageKey))},
		{Key: statusKey, Revision: int64(r.deps.Watch.StoredRevision(statusKey))},
	}
	writes := []store.Write{{Key: stageKey, Value: stageValue}}
	if status.To != m.order.To || status.State != state || !status.Revision.FollowsInEra(m.order.Revision) {
		writes = append(writes, store.Write{Key: statusKey, Value: statusValue})
	}
	_, _, err = r.deps.Store.Txn(ctx, compares, writes, nil)
	if err == nil {
		r.deps.Log.Info("move stated", "service", string(service), "to", string(m.order.To), "share", next.Share, "state", next.State,
			"trial-hosts", len(next.Hosts), "reason", next.Reason)
	}
	return err
}

// movedFrom returns the version that the move leaves, or nil if it is not known.
func (r *Rollouts) movedFrom(m *move) *string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.currents[m.order.Service]
	if c.version == "" || c.guessed {
		return nil
	}
	from := string(c.version)
	return &from
}

// restate writes the end of a move again if the store has lost it in a restore, so that operators read it.
func (r *Rollouts) restate(ctx context.Context, now time.Time, m *move) error {
	status, ok := r.deps.Watch.MoveStatus(m.order.Service)
	if ok && status.To == m.order.To && status.State == m.endState && status.Revision.FollowsInEra(m.order.Revision) {
		return nil
	}
	s, _ := r.stage(m)
	next := reverted(s.Stage, s.Reason)
	if m.endState == watch.MoveDone {
		next.Share, next.State = 1, string(watch.MoveDone)
	}
	return r.writeStage(ctx, m, next, now)
}
