package roll

import (
	"strconv"
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/watch"
)

// move is the state of one service's move at this host.
type move struct {
	order         watch.MoveOrder
	firstRevision ident.Revision  // of the order when the move began; the order may have been written again since
	step          canary.Step     // share that this host applies, and since when
	trial         canary.Entry    // this host's use of the list of hosts
	staleAt       time.Time       // when this host's copy of the store was last seen too old, or was new to this process
	fault         string          // reason why the version is bad, or empty
	endState      watch.MoveState // done or reverted once the stored status says so, or empty
	hindrance     canary.Hindrance
}

// ended reports whether the stored status says that the move is done or reverted.
func (m *move) ended() bool { return m.endState != "" }

// updateMove returns the state of the move that the order asks for. It creates the state for a new order, and ends the
// move when the stored status says so.
func (r *Rollouts) updateMove(now time.Time, order watch.MoveOrder) *move {
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
		if s, ok := r.deps.Watch.Stage(order.Service); ok && s.To == string(order.To) {
			m.staleAt = now // this host has started during the move
		}
		r.moves[order.Service] = m
		r.deps.Evidence.Reset(order.Service, order.To)
	}
	status, ok := r.deps.Watch.MoveStatus(order.Service)
	if ok && status.Revision.FollowsInEra(order.Revision) && status.To == order.To && status.State != watch.MoveRunning && !m.ended() {
		m.endState = status.State
		r.deps.Gate.Close(order.Service)
		if status.State == watch.MoveDone {
			r.currents[order.Service] = current{version: order.To, listed: true}
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

// setGate lets requests pass to the new version as the stored stage says. It closes the gate if there is no stage, the
// version is bad, the move was reverted, both versions are slow, or this host's copy of the store is too old or has only just been renewed.
func (r *Rollouts) setGate(now time.Time, m *move) {
	s, ok := r.stage(m)
	undecided := canary.Undecided(r.outcomes(now, m), standard)
	confirmedAt := r.deps.Watch.ConfirmedAt()
	until := confirmedAt.Add(permissionTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(until) {
		m.staleAt = now
	}
	settled := now.Sub(m.staleAt) >= settleTime
	if ok && (s.Share != m.step.Share || m.step.Since.IsZero()) {
		m.step = canary.Step{Share: s.Share, Since: now}
	}
	if !ok || m.fault != "" || s.State == string(watch.MoveReverted) || !settled || undecided {
		r.deps.Gate.Close(m.order.Service)
		return
	}
	if list := trialList(s); list > 0 {
		id := canary.TrialID{Move: moveID(m), List: list}
		r.deps.Gate.SetTrial(now, m.order.Service, m.order.To, id, r.allowed(now, m, id, s), until)
		return
	}
	r.deps.Gate.Set(m.order.Service, m.order.To, s.Share, until)
}

// checkEvidence adds a fault to the move if the evidence shows that the version is bad. It sends a known fault to the
// peers on every call.
func (r *Rollouts) checkEvidence(now time.Time, m *move) {
	r.mu.Lock()
	reason := m.fault
	r.mu.Unlock()
	if reason == "" {
		if reason = canary.Judge(r.outcomes(now, m), standard); reason == "" {
			return
		}
	}
	t := wire.Trip{Service: string(m.order.Service), Version: string(m.order.To), Reason: reason, Attempt: attemptID(m.order)}
	r.AddFault(t)
	r.deps.Broadcast(wire.Frame{Trip: &t})
}

var standard = canary.Standard{Latency: maxRunTimeRatio * msPerRunTimeRatio}

// outcomes returns the outcomes of the service's current version (baseline) and of the move's target (candidate). The
// baseline counts as gone if no server of it is left, or once all requests go to the target.
func (r *Rollouts) outcomes(now time.Time, m *move) canary.Outcomes {
	r.mu.Lock()
	c, share := r.currents[m.order.Service], m.step.Share
	r.mu.Unlock()
	return canary.Outcomes{
		Baseline:  r.deps.Evidence.ByRoute(now, m.order.Service, c.version),
		Candidate: r.deps.Evidence.ByRoute(now, m.order.Service, m.order.To),
		Total:     r.deps.Evidence.Total(m.order.Service, m.order.To),
		Gone:      c.none || !c.listed || share >= 1,
		Whole:     share >= 1,
	}
}

// attemptID identifies the move that an order starts, by the order's version and store revision. Another order for the
// same version has another id.
func attemptID(o watch.MoveOrder) string {
	return string(o.To) + " " + strconv.FormatInt(int64(o.Revision), 10)
}

// moveID identifies a move at this host, also after its order was written again.
func moveID(m *move) string {
	return string(m.order.To) + " " + strconv.FormatInt(int64(m.firstRevision), 10)
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
