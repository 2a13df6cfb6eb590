package roll

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/watch"
)

// stage returns the step that was stated for the move's order.
func (r *Rolls) stage(m *move) (watch.Stage, bool) {
	s, ok := r.seams.Watch.Stage(m.order.Service)
	return s, ok && ident.Revision(s.Order) == m.order.Revision
}

// lead states the next step of a move.
func (r *Rolls) lead(ctx context.Context, now time.Time, m *move) error {
	s, ok := r.stage(m)
	r.mu.Lock()
	tripped, step := m.tripped, m.step
	r.mu.Unlock()
	switch {
	case tripped != "":
		return r.state(ctx, m, s, 0, watch.MoveReverted, tripped, now)
	case !ok:
		return r.state(ctx, m, s, trial.DefaultShare, watch.MoveRunning, "", now)
	case step.Since.IsZero():
		return nil
	}
	by := time.UnixMilli(int64(s.StartedMs)).Add(m.order.Within)
	judged := trial.MayAdvance(r.evidence(now, m))
	share, done := trial.Next(now, step, by, judged)
	switch {
	case done && r.seams.Settled(m.order.Service, m.order.To, s.Revision):
		return r.state(ctx, m, s, 1, watch.MoveDone, "all requests are on the version", now)
	case share != s.Share:
		return r.state(ctx, m, s, share, watch.MoveRunning, "", now)
	}
	return nil
}

// state writes a step, and the verdict that operators read when it changes, unless another host stated something since.
func (r *Rolls) state(ctx context.Context, m *move, old watch.Stage, share float64, state watch.MoveState, reason string, now time.Time) error {
	service := m.order.Service
	next := wire.Stage{
		To: string(m.order.To), Order: int(m.order.Revision), Share: share, State: string(state), Reason: reason,
		StartedMs: int(now.UnixMilli()),
	}
	if ident.Revision(old.Order) == m.order.Revision {
		next.StartedMs = old.StartedMs
	}
	value, err := json.Marshal(next)
	if err != nil {
		return merry.Wrap(err)
	}
	verdict, _ := r.seams.Watch.MoveStatus(service)
	key, text, err := r.seams.Encode(watch.MoveStatus{Service: service, To: m.order.To, State: state})
	if err != nil {
		return err
	}
	stageKey := watch.StageKey(service)
	compares := []store.Compare{{Key: stageKey, Revision: int64(old.Revision)}, {Key: key, Revision: int64(verdict.Revision)}}
	writes := []store.Write{{Key: stageKey, Value: value}}
	if verdict.To != m.order.To || verdict.State != state || verdict.Revision < m.order.Revision {
		writes = append(writes, store.Write{Key: key, Value: text})
	}
	_, _, err = r.seams.Store.Txn(ctx, compares, writes, nil)
	if err == nil {
		r.seams.Log.Info("move stated", "service", string(service), "to", string(m.order.To), "share", share, "state", string(state), "reason", reason)
	}
	return err
}
