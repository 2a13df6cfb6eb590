package seat

import (
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// deadlineLife is how long a deadline that was worked out is used again.
const deadlineLife = 20 * time.Millisecond

// Lease tells a host whether it may serve work that is limited or needs a key.
// Times are the host's own monotonic ones, counted from when it sent what was answered.
type Lease struct {
	self        ident.Host
	incarnation ident.Incarnation
	terms       Terms

	mu      sync.Mutex
	table   wire.SeatTable
	renewed time.Time
	acks    map[ident.Host]time.Time

	known      time.Time // deadline worked out last; contact since can only have moved it later
	knownUntil time.Time // time at which it is worked out again
}

// NewLease returns a lease that has not been proved yet.
func NewLease(self ident.Host, incarnation ident.Incarnation, terms Terms) *Lease {
	return &Lease{self: self, incarnation: incarnation, terms: terms, acks: map[ident.Host]time.Time{}}
}

// SetTable takes in a seat table; older generations are ignored.
func (l *Lease) SetTable(t wire.SeatTable) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Generation < l.table.Generation {
		return
	}
	l.table = t
	l.knownUntil = time.Time{}
}

// Table returns the newest seat table that the host has seen.
func (l *Lease) Table() wire.SeatTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

// Renewed notes that a renewal sent at that time has landed in the store.
func (l *Lease) Renewed(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.renewed) {
		l.renewed = sent
	}
}

// Acked notes that a peer acknowledged a heartbeat sent at that time.
// Acknowledgements of incarnations other than the seated one do not count.
func (l *Lease) Acked(peer ident.Host, incarnation ident.Incarnation, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := Find(l.table, peer)
	if !ok || s.Incarnation != int(incarnation) {
		return
	}
	if sent.After(l.acks[peer]) {
		l.acks[peer] = sent
	}
}

// MayAck tells whether this host may acknowledge a heartbeat: not when it has seen a mark on the sender's seat,
// nor when it knows a newer incarnation, nor when it has no seat itself.
func (l *Lease) MayAck(peer ident.Host, incarnation ident.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, seated := l.seat(); !seated {
		return false
	}
	s, ok := Find(l.table, peer)
	return ok && s.Mark == 0 && s.Incarnation == int(incarnation)
}

func (l *Lease) seat() (wire.Seat, bool) {
	s, ok := Find(l.table, l.self)
	return s, ok && s.Incarnation == int(l.incarnation)
}

// Deadline returns the time until which the host may serve; it is in the past when the host may not.
func (l *Lease) Deadline(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.knownUntil) && now.Before(l.known) {
		return l.known
	}
	l.known = l.deadline(now)
	l.knownUntil = now.Add(deadlineLife)
	return l.known
}

func (l *Lease) deadline(now time.Time) time.Time {
	s, ok := l.seat()
	if !ok || s.Mark > 0 {
		return time.Time{}
	}
	last := l.renewed
	if t := l.majority(s, now); t.After(last) {
		last = t
	}
	if last.IsZero() {
		return last
	}
	return last.Add(l.terms.Isolation)
}

// majority returns the latest time such that a strict majority of the voters acknowledged a heartbeat sent then or later.
// The host counts itself when it is a voter; marked seats keep their place in the count but cannot acknowledge.
func (l *Lease) majority(self wire.Seat, now time.Time) time.Time {
	var times []time.Time
	if self.Voter {
		times = append(times, now)
	}
	for _, s := range l.table.Seats {
		if !s.Voter || s.Mark > 0 || s.Host == self.Host {
			continue
		}
		if t, ok := l.acks[ident.Host(s.Host)]; ok {
			times = append(times, t)
		}
	}
	need := Majority(Voters(l.table))
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// Serving tells whether the host may serve now.
func (l *Lease) Serving(now time.Time) bool { return now.Before(l.Deadline(now)) }
