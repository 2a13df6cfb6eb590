// Package queue implements a bounded queue of requests that wait for a slot, with round-robin scheduling of teams.
package queue

import (
	"math"
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	rateTimeConstant = 1 * time.Second // time constant of the moving average of serveRate
	minWaiting       = 8               // queue length below which serveRate does not limit admission
)

// Queue is a fair queue in front of shared slots. Each team has a first-in, first-out queue, and the teams are served
// round-robin, so that a team with many waiting requests does not delay the others. It is safe for concurrent use.
type Queue struct {
	mu        sync.Mutex
	waiting   map[ident.Team][]*Waiter
	order     []ident.Team
	length    int
	maxLength int
	serveRate float64 // moving average of the requests per second that got slots
	decayedAt time.Time
}

// Waiter is a waiting request. Ready is closed when the request should try again to get a slot.
type Waiter struct {
	Ready chan struct{}
	team  ident.Team
}

// New returns an empty queue that admits at most maxLength requests.
func New(maxLength int) *Queue {
	return &Queue{waiting: map[ident.Team][]*Waiter{}, maxLength: maxLength}
}

// Enqueue adds a request of the team. It returns false if the queue is full, if the team already has more than half of
// maxLength waiting, or if the request would wait longer than maxWait at the current rate of served requests.
func (q *Queue) Enqueue(now time.Time, team ident.Team, maxWait time.Duration) (*Waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting[team]
	if q.length >= q.maxLength || len(waiting) >= q.maxLength/2+1 {
		return nil, false
	}
	q.decayRate(now)
	if q.length >= minWaiting && float64(q.length) > q.serveRate*maxWait.Seconds() {
		return nil, false
	}
	w := &Waiter{Ready: make(chan struct{}), team: team}
	q.insert(w, len(waiting))
	return w, true
}

// Requeue puts a request that was woken but got no slot back to the front of its team's queue.
func (q *Queue) Requeue(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.Ready = make(chan struct{})
	q.insert(w, 0)
}

func (q *Queue) insert(w *Waiter, position int) {
	waiting := q.waiting[w.team]
	if len(waiting) == 0 {
		q.order = append(q.order, w.team)
	}
	q.waiting[w.team] = slices.Insert(waiting, position, w)
	q.length++
}

// RecordServed records that a request got a slot.
func (q *Queue) RecordServed(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decayRate(now)
	q.serveRate += 1 / rateTimeConstant.Seconds()
}

func (q *Queue) decayRate(now time.Time) {
	if d := now.Sub(q.decayedAt); d > 0 {
		q.serveRate *= math.Exp(-float64(d) / float64(rateTimeConstant))
		q.decayedAt = now
	}
}

// WakeNext removes the first request of the next team and closes its Ready channel. It does nothing if the queue is
// empty.
func (q *Queue) WakeNext() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) == 0 {
		return
	}
	team := q.order[0]
	q.order = q.order[1:]
	waiting := q.waiting[team]
	w := waiting[0]
	q.length--
	if len(waiting) == 1 {
		delete(q.waiting, team)
	} else {
		q.waiting[team] = waiting[1:]
		q.order = append(q.order, team)
	}
	close(w.Ready)
}

// Remove removes a request that stopped waiting. If the request was woken already, it wakes the next one instead.
func (q *Queue) Remove(w *Waiter) {
	q.mu.Lock()
	waiting := q.waiting[w.team]
	for i, other := range waiting {
		if other != w {
			continue
		}
		q.removeAt(w.team, i)
		q.mu.Unlock()
		return
	}
	q.mu.Unlock()
	q.WakeNext()
}

func (q *Queue) removeAt(team ident.Team, i int) {
	waiting := q.waiting[team]
	q.length--
	if len(waiting) > 1 {
		q.waiting[team] = append(waiting[:i:i], waiting[i+1:]...)
		return
	}
	delete(q.waiting, team)
	for j, other := range q.order {
		if other == team {
			q.order = append(q.order[:j:j], q.order[j+1:]...)
			return
		}
	}
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}
