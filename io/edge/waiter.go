package edge

import (
	"sync"
	"time"

	"jayshift/core/place"
	"jayshift/core/wait"
)

// waiter is a request that waits.
type waiter struct {
	entry  *wait.Entry
	result chan waitResult // gets one result

	mu   sync.Mutex // held while a round tries the request
	q    *request
	done bool // the result was sent, or the request has left
}

// waitResult is the end of a wait: a reservation, a refusal, or neither if the request is to start again.
type waitResult struct {
	reservation *place.Reservation
	refused     *place.Refusal
}

// await lets the request wait until it has a server, is rejected, or its caller leaves.
func (e *Edge) await(s *serviceQueue, q *request, entry *wait.Entry) (*place.Reservation, *place.Refusal) {
	w := &waiter{entry: entry, q: q, result: make(chan waitResult, 1)}
	if !e.enqueue(s, w) {
		return nil, q.fullRefusal()
	}
	began := time.Now()
	defer func() { q.waited += time.Since(began) }()
	overdue := time.NewTimer(time.Until(entry.Latest) + overdueMargin)
	defer overdue.Stop()
	select {
	case r := <-w.result:
		return e.afterWait(q, r)
	case <-q.ctx.Done():
	case <-overdue.C:
	}
	if r, ok := s.leave(w); ok && r.reservation != nil {
		e.deps.Versions.Return(q.service, q.choice)
		r.reservation.Release(time.Now(), place.Outcome{Result: place.Canceled})
	}
	if q.ctx.Err() != nil {
		return nil, callerLeftRefusal()
	}
	return nil, q.fullRefusal()
}

// overdueMargin is the time after its last moment from which a request leaves by itself, if no round has rejected it.
const overdueMargin = 50 * time.Millisecond

// afterWait returns the result of a wait. A request that is to start again is admitted by the latest configuration.
func (e *Edge) afterWait(q *request, r waitResult) (*place.Reservation, *place.Refusal) {
	if r.reservation != nil || r.refused != nil {
		return r.reservation, r.refused
	}
	q.serviceWanted, q.team, q.teamConfig, q.arrivedAt = q.service, "", nil, ""
	q.sawCutOff = q.sawCutOff || e.deps.Reach.CutOff()
	if q.rejection = e.admit(q); q.rejection != nil {
		return nil, &place.Refusal{Reason: place.Reason(q.rejection.outcome), RetryAfter: q.rejection.retryAfter}
	}
	if q.mayHaveRun && !q.idempotent() || q.sent > 0 && q.sent >= q.maxAttempts() {
		return nil, q.fullRefusal() // by the latest configuration it must not be sent again
	}
	return nil, nil
}

// fullRefusal is the refusal of a request that does not wait any longer.
func (q *request) fullRefusal() *place.Refusal {
	if q.refused != nil {
		return q.refused
	}
	return &place.Refusal{Reason: place.Full, RetryAfter: defaultRetryAfter}
}

func callerLeftRefusal() *place.Refusal {
	return &place.Refusal{Reason: place.Reason(outcomeCallerLeft), RetryAfter: defaultRetryAfter}
}

// enqueue lets the request wait, and rejects another one if too many wait. It returns false if the request itself is rejected.
func (e *Edge) enqueue(s *serviceQueue, w *waiter) bool {
	now := time.Now()
	s.mu.Lock()
	rejected := s.queue.Add(now, w.entry)
	if rejected == w.entry {
		s.mu.Unlock()
		return false
	}
	s.waiters[w.entry] = w
	s.waited++
	displaced := s.take(rejected)
	e.schedule(s, now, true)
	s.mu.Unlock()
	displaced.reject()
	return true
}

// take removes the waiter of an entry that has left the queue. It returns nil if there is none. mu must be held.
func (s *serviceQueue) take(entry *wait.Entry) *waiter {
	w := s.waiters[entry]
	delete(s.waiters, entry)
	if w != nil {
		s.rejected++
	}
	return w
}

// reject ends the wait of a request that is rejected.
func (w *waiter) reject() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(waitResult{refused: w.q.fullRefusal()})
}

// finish sends the result unless the request has left or has got one. mu must be held.
func (w *waiter) finish(r waitResult) {
	if !w.done {
		w.done = true
		w.result <- r
	}
}

// leave removes a request whose caller has left. It returns the result that the request has got meanwhile, if any.
func (s *serviceQueue) leave(w *waiter) (waitResult, bool) {
	s.mu.Lock()
	s.queue.Remove(w.entry)
	delete(s.waiters, w.entry)
	s.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return <-w.result, true
	}
	w.done = true
	return waitResult{}, false
}
