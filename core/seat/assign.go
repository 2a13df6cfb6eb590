package seat

import (
	"slices"
	"sort"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// assignPartitions gives each free partition an owner. It sets a next owner for a partition whose owner has more than
// its share or is not in the partition's region. It returns false when nothing changes.
func assignPartitions(t wire.SeatTable) (wire.SeatTable, bool) {
	seats := unmarkedSeats(t)
	if len(seats) == 0 {
		return t, false
	}
	next := nextGeneration(t)
	assignRegions(&next, seats)
	counts := map[ident.Host]int{}
	for _, p := range next.Partitions {
		counts[targetOwner(p)]++
	}
	for i := range next.Partitions {
		assignOwner(&next, i, seats, counts)
	}
	if slices.Equal(next.Partitions, t.Partitions) {
		return t, false
	}
	return next, true
}

// targetOwner returns the next owner of the partition, or the present owner when no transfer is pending.
func targetOwner(p wire.Partition) ident.Host {
	if p.Next != "" {
		return ident.Host(p.Next)
	}
	return ident.Host(p.Owner)
}

// unmarkedSeats returns the seats that are not marked for revocation, sorted by host.
func unmarkedSeats(t wire.SeatTable) []wire.Seat {
	var list []wire.Seat
	for _, s := range t.Seats {
		if s.Mark == 0 {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// assignRegions spreads the partitions evenly over the regions. A region that has lost all its hosts keeps its even
// share.
func assignRegions(t *wire.SeatTable, seats []wire.Seat) {
	counts := map[string]int{}
	for _, s := range seats {
		counts[s.Region] = 0
	}
	for _, p := range t.Partitions {
		if p.Region != "" {
			counts[p.Region]++
		}
	}
	perRegion := len(t.Partitions) / len(counts)
	for i := range t.Partitions {
		p := &t.Partitions[i]
		if p.Region != "" && counts[p.Region] <= perRegion+1 {
			continue
		}
		smallest := smallestRegion(counts)
		if p.Region != "" && counts[smallest] >= perRegion {
			continue
		}
		counts[p.Region]--
		p.Region = smallest
		counts[smallest]++
	}
}

// smallestRegion returns the region with the fewest partitions, and the first of them by name if there are several.
func smallestRegion(counts map[string]int) string {
	best := ""
	for region, n := range counts {
		if region == "" {
			continue
		}
		if best == "" || n < counts[best] || (n == counts[best] && region < best) {
			best = region
		}
	}
	return best
}

// assignOwner decides on one partition. A free one goes to the host with the fewest partitions in its region;
// an owned one gets a next owner if its owner is in another region or has at least two partitions more than that host.
// A partition whose owner is marked for revocation is not changed.
func assignOwner(t *wire.SeatTable, i int, seats []wire.Seat, counts map[ident.Host]int) {
	p := &t.Partitions[i]
	if p.Next != "" {
		return
	}
	candidates := seatsInRegion(seats, p.Region)
	best := leastLoadedHost(candidates, counts)
	owner := ident.Host(p.Owner)
	if p.Owner == "" {
		p.Owner = string(best)
		p.Since = t.Generation
		counts[best]++
		return
	}
	if !containsHost(seats, owner) {
		return
	}
	if containsHost(candidates, owner) && counts[owner] <= counts[best]+1 {
		return
	}
	p.Next = string(best)
	counts[owner]--
	counts[best]++
}

// seatsInRegion returns the seats in the region, or all seats when the region has none.
func seatsInRegion(seats []wire.Seat, region string) []wire.Seat {
	var list []wire.Seat
	for _, s := range seats {
		if s.Region == region {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return seats
	}
	return list
}

// leastLoadedHost returns the host with the fewest partitions, and the first of them if there are several.
func leastLoadedHost(seats []wire.Seat, counts map[ident.Host]int) ident.Host {
	best := ident.Host(seats[0].Host)
	for _, s := range seats[1:] {
		if counts[ident.Host(s.Host)] < counts[best] {
			best = ident.Host(s.Host)
		}
	}
	return best
}

func containsHost(seats []wire.Seat, host ident.Host) bool {
	return slices.ContainsFunc(seats, func(s wire.Seat) bool { return s.Host == string(host) })
}

// Release transfers the given partitions, which the host has released, to their next owners.
// Partitions that the host does not own or that have no next owner stay as they are.
func Release(t wire.SeatTable, host ident.Host, partitions []int) wire.SeatTable {
	next := nextGeneration(t)
	for _, i := range partitions {
		p := &next.Partitions[i]
		if p.Owner != string(host) || p.Next == "" {
			continue
		}
		*p = wire.Partition{Owner: p.Next, Since: next.Generation, Fresh: true, Region: p.Region}
	}
	return next
}

// Owned returns the partitions that the host owns, except those that it has been asked to release.
func Owned(t wire.SeatTable, host ident.Host) []int {
	var list []int
	for i, p := range t.Partitions {
		if p.Owner == string(host) && p.Next == "" {
			list = append(list, i)
		}
	}
	return list
}

// PendingRelease returns the partitions that the host owns and has been asked to release.
func PendingRelease(t wire.SeatTable, host ident.Host) []int {
	var list []int
	for i, p := range t.Partitions {
		if p.Owner == string(host) && p.Next != "" {
			list = append(list, i)
		}
	}
	return list
}

// LeastLoadedPartition returns the partition, counted from one, with the least load of those owned by hosts in the
// region. When no host in the region owns a partition, it chooses from all partitions. It returns zero for an empty
// table.
func LeastLoadedPartition(t wire.SeatTable, region string, load map[int]int) int {
	regions := map[string]string{}
	for _, s := range t.Seats {
		regions[s.Host] = s.Region
	}
	best := 0
	for _, sameRegion := range []bool{true, false} {
		for i, p := range t.Partitions {
			if sameRegion && regions[p.Owner] != region {
				continue
			}
			if best == 0 || load[i+1] < load[best] {
				best = i + 1
			}
		}
		if best > 0 {
			return best
		}
	}
	return 0
}
