package seat

import (
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// deadlineCacheTTL is how long a computed deadline is reused before it is computed again.
const deadlineCacheTTL = 20 * time.Millisecond

// Lease computes the time until which a host may serve requests that are limited or need an API key.
// Its times are from the host's monotonic clock. The time of a contact is when the host sent the message that was
// answered, not when the answer arrived.
type Lease struct {
	self        ident.Host
	incarnation ident.Incarnation
	timing      Timing

	mu          sync.Mutex
	table       wire.SeatTable
	lastRenewal time.Time
	lastAcks    map[ident.Host]time.Time

	cachedDeadline time.Time // last computed deadline; later contacts can only extend it
	cachedUntil    time.Time // when the deadline is computed again
}

// NewLease returns a lease without any proof of contact; it does not permit serving yet.
func NewLease(self ident.Host, incarnation ident.Incarnation, timing Timing) *Lease {
	return &Lease{self: self, incarnation: incarnation, timing: timing, lastAcks: map[ident.Host]time.Time{}}
}

// SetTable stores a newer seat table; older generations are ignored.
func (l *Lease) SetTable(t wire.SeatTable) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Generation < l.table.Generation {
		return
	}
	l.table = t
	l.cachedUntil = time.Time{}
}

// Table returns the newest seat table that the host has seen.
func (l *Lease) Table() wire.SeatTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

// RecordRenewal records that a renewal sent at the given time was written to the store.
func (l *Lease) RecordRenewal(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.lastRenewal) {
		l.lastRenewal = sent
	}
}

// RecordAck records that a peer acknowledged a heartbeat sent at the given time.
// Acknowledgements from an incarnation of the peer other than the one in the seat table are ignored.
func (l *Lease) RecordAck(peer ident.Host, incarnation ident.Incarnation, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := Find(l.table, peer)
	if !ok || s.Incarnation != int(incarnation) {
		return
	}
	if sent.After(l.lastAcks[peer]) {
		l.lastAcks[peer] = sent
	}
}

// MayAck reports whether this host may acknowledge a heartbeat of the peer. It may not if it has no seat itself,
// or if its seat table has no unmarked seat for this incarnation of the peer.
func (l *Lease) MayAck(peer ident.Host, incarnation ident.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, seated := l.currentSeat(); !seated {
		return false
	}
	s, ok := Find(l.table, peer)
	return ok && s.Mark == 0 && s.Incarnation == int(incarnation)
}

func (l *Lease) currentSeat() (wire.Seat, bool) {
	s, ok := Find(l.table, l.self)
	return s, ok && s.Incarnation == int(l.incarnation)
}

// Deadline returns the time until which the host may serve. It is in the past when the host may not serve.
func (l *Lease) Deadline(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.cachedUntil) && now.Before(l.cachedDeadline) {
		return l.cachedDeadline
	}
	l.cachedDeadline = l.computeDeadline(now)
	l.cachedUntil = now.Add(deadlineCacheTTL)
	return l.cachedDeadline
}

func (l *Lease) computeDeadline(now time.Time) time.Time {
	s, ok := l.currentSeat()
	if !ok || s.Mark > 0 {
		return time.Time{}
	}
	lastContact := l.lastRenewal
	if t := l.lastMajorityContact(s, now); t.After(lastContact) {
		lastContact = t
	}
	if lastContact.IsZero() {
		return lastContact
	}
	return lastContact.Add(l.timing.IsolationLimit)
}

// lastMajorityContact returns the latest time such that a strict majority of the voters acknowledged
// a heartbeat sent then or later, or the zero time when there is none. The host counts itself when it is a voter.
// Marked seats still count as voters, but their acknowledgements do not.
func (l *Lease) lastMajorityContact(self wire.Seat, now time.Time) time.Time {
	var ackTimes []time.Time
	if self.Voter {
		ackTimes = append(ackTimes, now)
	}
	for _, s := range l.table.Seats {
		if !s.Voter || s.Mark > 0 || s.Host == self.Host {
			continue
		}
		if t, ok := l.lastAcks[ident.Host(s.Host)]; ok {
			ackTimes = append(ackTimes, t)
		}
	}
	majority := Majority(Voters(l.table))
	if len(ackTimes) < majority {
		return time.Time{}
	}
	slices.SortFunc(ackTimes, func(a, b time.Time) int { return b.Compare(a) })
	return ackTimes[majority-1]
}

// Serving reports whether the host may serve now.
func (l *Lease) Serving(now time.Time) bool { return now.Before(l.Deadline(now)) }
