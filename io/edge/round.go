package edge

import (
	"time"

	"jayshift/core/place"
	"jayshift/io/panics"
)

// schedule sets the timer of the next round. freed is set if a server may have room now. mu must be held.
func (e *Edge) schedule(s *serviceQueue, now time.Time, freed bool) {
	at, ok := s.queue.Next(now, freed)
	if !ok {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(at.Sub(now), func() { e.runRound(s) })
		return
	}
	s.timer.Reset(at.Sub(now))
}

// runRound runs a round. After a fault of the program the requests that wait leave by themselves.
func (e *Edge) runRound(s *serviceQueue) {
	if err := panics.Catch(func() { e.tryWaiting(s) }); err != nil {
		e.deps.Log.Error("waiting requests not tried", "error", err.Error())
	}
}

// tryWaiting rejects the requests that cannot be answered in time any more, and lets the others try once in their order.
func (e *Edge) tryWaiting(s *serviceQueue) {
	s.round.Lock()
	defer s.round.Unlock()
	now := time.Now()
	s.mu.Lock()
	var rejected, order []*waiter
	for _, entry := range s.queue.Reject(now) {
		rejected = append(rejected, s.take(entry))
	}
	for _, entry := range s.queue.Round(now) {
		order = append(order, s.waiters[entry])
	}
	s.mu.Unlock()
	for _, w := range rejected {
		w.reject()
	}
	for _, w := range order {
		e.tryOne(s, w)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.schedule(s, time.Now(), false)
	e.logWaits(s, now)
}

// waitLineInterval is the time between two log lines about the requests that wait for one service.
const waitLineInterval = 5 * time.Second

// logWaits writes a line about the requests that have waited since the last one. mu must be held.
func (e *Edge) logWaits(s *serviceQueue, now time.Time) {
	if now.Sub(s.loggedAt) < waitLineInterval || s.waited == 0 {
		return
	}
	state := s.queue.State(now)
	e.deps.Log.Info("requests waited for room", "service", string(s.service), "waited", s.waited, "sent", s.sent, "rejected", s.rejected, "returned", s.returned,
		"waiting", state.Waiting, "limited", state.Limited, "rate", state.Rate, "reserves", state.Reserves)
	s.waited, s.sent, s.rejected, s.returned, s.loggedAt = 0, 0, 0, 0, now
}

// tryOne lets one waiting request try.
func (e *Edge) tryOne(s *serviceQueue, w *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	r, ended := e.retryWaiting(s, w.q)
	if !ended {
		return
	}
	s.mu.Lock()
	s.queue.Remove(w.entry)
	delete(s.waiters, w.entry)
	if r.reservation != nil {
		s.sent++
	}
	s.mu.Unlock()
	w.finish(r)
}

// retryWaiting tries to reserve a server for a request that waits. It returns false if the request goes on waiting.
func (e *Edge) retryWaiting(s *serviceQueue, q *request) (waitResult, bool) {
	if q.callerLeft() {
		return waitResult{refused: callerLeftRefusal()}, true
	}
	if e.outdated(q) {
		return waitResult{}, true
	}
	reservation, refused := e.pickThroughGate(s, q)
	if refused == nil {
		return waitResult{reservation: reservation}, true
	}
	if refused.Reason != place.Full {
		return waitResult{refused: refused}, true
	}
	q.refused = refused
	return waitResult{}, false
}

// outdated reports whether what the request was admitted by has changed, so that it must be admitted again.
func (e *Edge) outdated(q *request) bool {
	t := e.deps.Table()
	return t == nil || t.Version != q.table.Version || e.deps.CopyExpired() || !q.sawCutOff && e.deps.Reach.CutOff() || e.cannotEnd(q)
}
