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

// advance writes the next stage of a move: the first share, a larger share, or the end of the move as reverted or done.
// A move is done when the share has reached 1 and all hosts have converged on the new version.
func (r *Rollouts) advance(ctx context.Context, now time.Time, m *move) error {
	s, ok := r.stage(m)
	r.mu.Lock()
	fault, step := m.fault, m.step
	r.mu.Unlock()
	switch {
	case fault != "":
		return r.writeStage(ctx, m, s, 0, watch.MoveReverted, fault, now)
	case !ok:
		return r.writeStage(ctx, m, s, canary.DefaultShare, watch.MoveRunning, "", now)
	case step.Since.IsZero():
		return nil
	}
	deadline := time.UnixMilli(int64(s.StartedMs)).Add(m.order.Within)
	mayAdvance := canary.MayAdvance(r.evidence(now, m))
	share, done := canary.Next(now, step, deadline, mayAdvance)
	switch {
	case s.Revision.Era() < m.order.Revision.Era():
		return r.writeStage(ctx, m, s, s.Share, watch.MoveState(s.State), s.Reason, now)
	case done && r.deps.Converged(m.order.Service, m.order.To, s.Revision):
		return r.writeStage(ctx, m, s, 1, watch.MoveDone, "all requests are on the version", now)
	case share != s.Share:
		return r.writeStage(ctx, m, s, share, watch.MoveRunning, "", now)
	}
	return nil
}

// writeStage writes a stage of a move. In the same transaction it writes the status that operators read, if it changes.
// It returns store.ErrConflict if another host has changed either since it was read.
func (r *Rollouts) writeStage(ctx context.Context, m *move, old watch.Stage, share float64, state watch.MoveState, reason string, now time.Time) error {
	service := m.order.Service
	next := wire.Stage{
		To: string(m.order.To), Order: int(m.order.Revision), Share: share, State: string(state), Reason: reason,
		StartedMs: int(now.UnixMilli()),
	}
	if _, ok := r.stage(m); ok {
		next.StartedMs = old.StartedMs
	}
	stageValue, err := json.Marshal(next)
	if err != nil {
		return merry.Wrap(err)
	}
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
		r.deps.Log.Info("move stated", "service", string(service), "to", string(m.order.To), "share", share, "state", string(state), "reason", reason)
	}
	return err
}

// restate writes the end of a move again if the store has lost it in a restore, so that operators read it.
func (r *Rollouts) restate(ctx context.Context, now time.Time, m *move) error {
	status, ok := r.deps.Watch.MoveStatus(m.order.Service)
	if ok && status.To == m.order.To && status.State == m.endState && status.Revision.FollowsInEra(m.order.Revision) {
		return nil
	}
	s, _ := r.stage(m)
	share := 0.0
	if m.endState == watch.MoveDone {
		share = 1
	}
	return r.writeStage(ctx, m, s, share, m.endState, s.Reason, now)
}
