// Package queue holds requests that wait for a slot, and serves their teams in turn.
package queue

import (
	"math"
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	servedWindow = 1 * time.Second // time constant of the rate at which requests get slots
	alwaysWait   = 8               // requests that may wait whatever the rate
)

// Queue is a fair queue in front of shared slots: each team waits in its own line, and the lines are served in turn,
// so that a team with many waiting requests does not delay the others.
type Queue struct {
	mu     sync.Mutex
	lines  map[ident.Team][]*Ticket
	turn   []ident.Team
	length int
	most   int
	served float64 // requests a second that got slots, exponentially weighted
	at     time.Time
}

// Ticket is one waiting request. Ready is closed when it is its turn to try again.
type Ticket struct {
	Ready chan struct{}
	team  ident.Team
}

// New returns a queue that holds at most so many tickets.
func New(most int) *Queue { return &Queue{lines: map[ident.Team][]*Ticket{}, most: most} }

// Join adds a request of the team; false when the queue is full, when the team has its share of it, or when its turn
// would not come within the patience at the rate at which requests now get slots.
func (q *Queue) Join(now time.Time, team ident.Team, patience time.Duration) (*Ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	line := q.lines[team]
	if q.length >= q.most || len(line) >= q.most/2+1 {
		return nil, false
	}
	q.decay(now)
	if q.length >= alwaysWait && float64(q.length) > q.served*patience.Seconds() {
		return nil, false
	}
	t := &Ticket{Ready: make(chan struct{}), team: team}
	q.insert(t, len(line))
	return t, true
}

// Rejoin puts a ticket whose turn brought no slot back to the front of its line.
func (q *Queue) Rejoin(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t.Ready = make(chan struct{})
	q.insert(t, 0)
}

func (q *Queue) insert(t *Ticket, at int) {
	line := q.lines[t.team]
	if len(line) == 0 {
		q.turn = append(q.turn, t.team)
	}
	q.lines[t.team] = slices.Insert(line, at, t)
	q.length++
}

// Served notes that a request got a slot.
func (q *Queue) Served(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decay(now)
	q.served += 1 / servedWindow.Seconds()
}

func (q *Queue) decay(now time.Time) {
	if d := now.Sub(q.at); d > 0 {
		q.served *= math.Exp(-float64(d) / float64(servedWindow))
		q.at = now
	}
}

// Wake lets the next ticket try, the teams in turn.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.turn) == 0 {
		return
	}
	team := q.turn[0]
	q.turn = q.turn[1:]
	line := q.lines[team]
	t := line[0]
	q.length--
	if len(line) == 1 {
		delete(q.lines, team)
	} else {
		q.lines[team] = line[1:]
		q.turn = append(q.turn, team)
	}
	close(t.Ready)
}

// Leave removes a ticket that gave up. When its turn has come already, the turn goes to the next.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	line := q.lines[t.team]
	for i, other := range line {
		if other != t {
			continue
		}
		q.remove(t.team, i)
		q.mu.Unlock()
		return
	}
	q.mu.Unlock()
	q.Wake()
}

func (q *Queue) remove(team ident.Team, i int) {
	line := q.lines[team]
	q.length--
	if len(line) > 1 {
		q.lines[team] = append(line[:i:i], line[i+1:]...)
		return
	}
	delete(q.lines, team)
	for j, other := range q.turn {
		if other == team {
			q.turn = append(q.turn[:j:j], q.turn[j+1:]...)
			return
		}
	}
}

// Length returns how many requests wait.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}
