// Package queue holds requests that wait for a slot, and serves their teams in turn.
package queue

import (
	"sync"

	"jayshift/core/ident"
)

// Queue is a fair queue in front of shared slots: each team waits in its own line, and the lines are served in turn,
// so that a team with many waiting requests does not delay the others.
type Queue struct {
	mu     sync.Mutex
	lines  map[ident.Team][]*Ticket
	turn   []ident.Team
	length int
	most   int
}

// Ticket is one waiting request. Ready is closed when it is its turn to try again.
type Ticket struct {
	Ready chan struct{}
	team  ident.Team
}

// New returns a queue that holds at most so many tickets.
func New(most int) *Queue { return &Queue{lines: map[ident.Team][]*Ticket{}, most: most} }

// Join adds a request of the team; false when the queue is full or the team has its share of it.
func (q *Queue) Join(team ident.Team) (*Ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	line := q.lines[team]
	if q.length >= q.most || len(line) >= q.most/2+1 {
		return nil, false
	}
	t := &Ticket{Ready: make(chan struct{}), team: team}
	if len(line) == 0 {
		q.turn = append(q.turn, team)
	}
	q.lines[team] = append(line, t)
	q.length++
	return t, true
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
