// Package seat computes the seat table: which hosts are members of the fleet, which host owns which partition of the
// limits, and when the partitions of a host that stopped renewing may be reassigned.
//
// The table is one value in the platform's store; each change is a compare-and-swap that raises the generation by one.
// All functions return a changed copy and do not modify their argument.
package seat

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// PartitionCount is the number of partitions into which every limit is divided.
const PartitionCount = 64

var (
	// ErrNoSeat means that the host has no seat, or that another incarnation of the host has it.
	ErrNoSeat = merry.Sentinel("seat: this incarnation has no seat in the table")
	// ErrMarked means that the seat is being revoked; the host must join again as a new incarnation.
	ErrMarked = merry.Sentinel("seat: marked for revocation")
	// ErrStaleIncarnation means that the table already has this or a newer incarnation of the host,
	// or an unmarked seat of the host at another link address.
	ErrStaleIncarnation = merry.Sentinel("seat: host already has a seat with a newer incarnation or another address")
)

// NewTable returns the first table of a fleet, with no seats and all partitions free and unused.
func NewTable() wire.SeatTable {
	t := wire.SeatTable{Seats: []wire.Seat{}, Partitions: make([]wire.Partition, PartitionCount), Removals: []wire.Removal{}, Gone: []wire.GoneKeeper{}}
	for i := range t.Partitions {
		t.Partitions[i].Fresh = true
	}
	return t
}

// nextGeneration returns a deep copy of the table with the generation raised by one.
func nextGeneration(t wire.SeatTable) wire.SeatTable {
	t.Seats = slices.Clone(t.Seats)
	t.Partitions = slices.Clone(t.Partitions)
	t.Removals = slices.Clone(t.Removals)
	t.Gone = slices.Clone(t.Gone)
	t.Generation++
	return t
}

// Find returns the seat of the host.
func Find(t wire.SeatTable, host ident.Host) (wire.Seat, bool) {
	i := seatIndex(t, host)
	if i < 0 {
		return wire.Seat{}, false
	}
	return t.Seats[i], true
}

func seatIndex(t wire.SeatTable, host ident.Host) int {
	return slices.IndexFunc(t.Seats, func(s wire.Seat) bool { return s.Host == string(host) })
}

// Join adds a seat for a host. A later incarnation at the same link address replaces the earlier one at once:
// it could bind the address only because the earlier process has ended. Otherwise Join returns ErrStaleIncarnation,
// or ErrMarked if the seat at the other address is marked for revocation.
func Join(now time.Time, t wire.SeatTable, hello wire.Hello) (wire.SeatTable, error) {
	i := seatIndex(t, ident.Host(hello.Host))
	next := nextGeneration(t)
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
		return t, ErrStaleIncarnation
	}
	if old.LinkAddress != hello.LinkAddress && old.Mark == 0 {
		return t, ErrStaleIncarnation
	}
	if old.LinkAddress != hello.LinkAddress {
		return t, ErrMarked
	}
	s.Voter = old.Voter
	next.Gone = recordRemovedKeeper(now, next.Gone, old)
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

// Mark marks a seat for revocation. The host's renewal key must be written in the same transaction, so that the host's
// renewals fail from then on: each compares the key with the host's last renewal.
func Mark(t wire.SeatTable, host ident.Host) wire.SeatTable {
	next := nextGeneration(t)
	if i := seatIndex(next, host); i >= 0 {
		next.Seats[i].Mark = next.Generation
	}
	return next
}

// Leave removes a host that has shut down after its last request ended. Its partitions can be reused at once.
// If its run records were handed over, it is not added to the removed keepers, as no record is lost.
// Leave returns ErrNoSeat if this incarnation has no seat.
func Leave(now time.Time, t wire.SeatTable, host ident.Host, incarnation ident.Incarnation, handedOver bool) (wire.SeatTable, error) {
	i := seatIndex(t, host)
	if i < 0 || t.Seats[i].Incarnation != int(incarnation) {
		return t, ErrNoSeat
	}
	next := removeSeat(now, t, host, true)
	if handedOver {
		next.Gone = slices.Clone(t.Gone)
	}
	return next, nil
}

// Revoke removes a marked seat. It must be called only after canRevoke has returned true.
func Revoke(now time.Time, t wire.SeatTable, host ident.Host) wire.SeatTable {
	return removeSeat(now, t, host, false)
}

// removeSeat removes the host's seat. Its partitions go to their next owners, or become free;
// fresh is set if none of the host's requests can still be using them.
func removeSeat(now time.Time, t wire.SeatTable, host ident.Host, fresh bool) wire.SeatTable {
	next := nextGeneration(t)
	i := seatIndex(next, host)
	if i < 0 {
		return t
	}
	if next.Seats[i].Voter {
		next.Removals = append(next.Removals, wire.Removal{Generation: next.Generation, Voters: Voters(t)})
	}
	next.Gone = recordRemovedKeeper(now, next.Gone, next.Seats[i])
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

// Majority returns the number of voters in a strict majority.
func Majority(voters int) int { return voters/2 + 1 }
