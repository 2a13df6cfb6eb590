// Package seat decides who belongs to the fleet, who holds which partition of the limits,
// and when a silent host's partitions may go to others.
//
// The table is one value in the platform's store; each change is a compare-and-swap that raises the generation by one.
// All functions return a changed copy and leave their argument as it is.
package seat

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Partitions is the number of partitions that every limit is cut along.
const Partitions = 64

var (
	// ErrNoSeat means that the host has no seat, or that a newer incarnation has it.
	ErrNoSeat = merry.Sentinel("seat: no seat in the table")
	// ErrMarked means that the seat is being revoked; the host must take a seat again as a new incarnation.
	ErrMarked = merry.Sentinel("seat: marked for revocation")
	// ErrStale means that the table already holds a newer incarnation of the host.
	ErrStale = merry.Sentinel("seat: newer incarnation seated")
)

// NewTable returns the first table of a fleet, with no seats and all partitions free and unused.
func NewTable() wire.SeatTable {
	t := wire.SeatTable{Seats: []wire.Seat{}, Partitions: make([]wire.Partition, Partitions), Removals: []wire.Removal{}, Gone: []wire.GoneKeeper{}}
	for i := range t.Partitions {
		t.Partitions[i].Fresh = true
	}
	return t
}

// clone returns a deep copy with the generation raised by one.
func clone(t wire.SeatTable) wire.SeatTable {
	t.Seats = slices.Clone(t.Seats)
	t.Partitions = slices.Clone(t.Partitions)
	t.Removals = slices.Clone(t.Removals)
	t.Gone = slices.Clone(t.Gone)
	t.Generation++
	return t
}

// Find returns the seat of the host.
func Find(t wire.SeatTable, host ident.Host) (wire.Seat, bool) {
	i := indexOf(t, host)
	if i < 0 {
		return wire.Seat{}, false
	}
	return t.Seats[i], true
}

func indexOf(t wire.SeatTable, host ident.Host) int {
	return slices.IndexFunc(t.Seats, func(s wire.Seat) bool { return s.Host == string(host) })
}

// Join seats a host. A later incarnation on the same address replaces the earlier one at once:
// that the address could be bound shows that the earlier process is gone.
func Join(now time.Time, t wire.SeatTable, hello wire.Hello) (wire.SeatTable, error) {
	i := indexOf(t, ident.Host(hello.Host))
	next := clone(t)
	s := wire.Seat{
		Host: hello.Host, Incarnation: hello.Incarnation, AvailabilityZone: hello.AvailabilityZone, Region: hello.Region,
		LinkAddress: hello.LinkAddress, CallerAddress: hello.CallerAddress,
	}
	if i < 0 {
		next.Seats = append(next.Seats, s)
		return next, nil
	}
	old := t.Seats[i]
	if old.Incarnation >= hello.Incarnation {
		return t, ErrStale
	}
	if old.LinkAddress != hello.LinkAddress && old.Mark == 0 {
		return t, ErrStale
	}
	if old.LinkAddress != hello.LinkAddress {
		return t, ErrMarked
	}
	s.Voter = old.Voter
	next.Gone = forget(now, next.Gone, old)
	next.Seats[i] = s
	for j := range next.Partitions {
		if next.Partitions[j].Owner == hello.Host {
			next.Partitions[j].Since = next.Generation
			next.Partitions[j].Fresh = false
			next.Partitions[j].Retaken = true
		}
	}
	return next, nil
}

// Mark starts the revocation of a seat. The host's renewal key must be written in the same step, so that from then on
// the host's renewals fail: each compares the key with the host's last renewal.
func Mark(t wire.SeatTable, host ident.Host) wire.SeatTable {
	next := clone(t)
	if i := indexOf(next, host); i >= 0 {
		next.Seats[i].Mark = next.Generation
	}
	return next
}

// Leave removes a host that stopped by itself after its last work ended. Its partitions are free at once.
// When its records of runs were handed over, its memory does not count as gone.
func Leave(now time.Time, t wire.SeatTable, host ident.Host, incarnation ident.Incarnation, handedOver bool) (wire.SeatTable, error) {
	i := indexOf(t, host)
	if i < 0 || t.Seats[i].Incarnation != int(incarnation) {
		return t, ErrNoSeat
	}
	next := remove(now, t, host, true)
	if handedOver {
		next.Gone = slices.Clone(t.Gone)
	}
	return next, nil
}

// Revoke removes a marked seat; CanRevoke must have allowed it.
func Revoke(now time.Time, t wire.SeatTable, host ident.Host) wire.SeatTable {
	return remove(now, t, host, false)
}

func remove(now time.Time, t wire.SeatTable, host ident.Host, fresh bool) wire.SeatTable {
	next := clone(t)
	i := indexOf(next, host)
	if i < 0 {
		return t
	}
	if next.Seats[i].Voter {
		next.Removals = append(next.Removals, wire.Removal{Generation: next.Generation, Voters: Voters(t)})
	}
	next.Gone = forget(now, next.Gone, next.Seats[i])
	next.Seats = slices.Delete(next.Seats, i, i+1)
	for j := range next.Partitions {
		p := &next.Partitions[j]
		if p.Next == string(host) {
			p.Next = ""
		}
		if p.Owner != string(host) {
			continue
		}
		*p = wire.Partition{Owner: p.Next, Since: next.Generation, Fresh: fresh, Region: p.Region}
	}
	return next
}

// Voters returns the number of seats whose acknowledgements count towards a majority, marked ones included.
func Voters(t wire.SeatTable) int {
	n := 0
	for _, s := range t.Seats {
		if s.Voter {
			n++
		}
	}
	return n
}

// Majority returns how many voters make a strict majority.
func Majority(voters int) int { return voters/2 + 1 }
