package seat

import (
	"slices"
	"sort"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// assign gives free partitions an owner, and names a next owner where one host holds too many or the region is wrong.
// It returns false when nothing changes.
func assign(t wire.SeatTable) (wire.SeatTable, bool) {
	hosts := placeable(t)
	if len(hosts) == 0 {
		return t, false
	}
	next := clone(t)
	label(&next, hosts)
	counts := map[ident.Host]int{}
	for _, p := range next.Partitions {
		counts[holderOf(p)]++
	}
	for i := range next.Partitions {
		place(&next, i, hosts, counts)
	}
	if slices.Equal(next.Partitions, t.Partitions) {
		return t, false
	}
	return next, true
}

// holderOf returns the host that holds the partition, or that it is on its way to.
func holderOf(p wire.Partition) ident.Host {
	if p.Next != "" {
		return ident.Host(p.Next)
	}
	return ident.Host(p.Owner)
}

func placeable(t wire.SeatTable) []wire.Seat {
	var list []wire.Seat
	for _, s := range t.Seats {
		if s.Mark == 0 {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// label spreads the partitions over the regions, keeping the labels of regions that have lost their hosts.
func label(t *wire.SeatTable, hosts []wire.Seat) {
	counts := map[string]int{}
	for _, s := range hosts {
		counts[s.Region] = 0
	}
	for _, p := range t.Partitions {
		if p.Region != "" {
			counts[p.Region]++
		}
	}
	quota := len(t.Partitions) / len(counts)
	for i := range t.Partitions {
		p := &t.Partitions[i]
		if p.Region != "" && counts[p.Region] <= quota+1 {
			continue
		}
		least := leastRegion(counts)
		if p.Region != "" && counts[least] >= quota {
			continue
		}
		counts[p.Region]--
		p.Region = least
		counts[least]++
	}
}

func leastRegion(counts map[string]int) string {
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

// place decides on one partition: a free one gets the least loaded host, a held one moves when that evens the load.
func place(t *wire.SeatTable, i int, hosts []wire.Seat, counts map[ident.Host]int) {
	p := &t.Partitions[i]
	if p.Next != "" {
		return
	}
	group := inRegion(hosts, p.Region)
	best := leastLoaded(group, counts)
	owner := ident.Host(p.Owner)
	if p.Owner == "" {
		p.Owner = string(best)
		p.Since = t.Generation
		counts[best]++
		return
	}
	if !isIn(hosts, owner) {
		return
	}
	if isIn(group, owner) && counts[owner] <= counts[best]+1 {
		return
	}
	p.Next = string(best)
	counts[owner]--
	counts[best]++
}

func inRegion(hosts []wire.Seat, region string) []wire.Seat {
	var list []wire.Seat
	for _, s := range hosts {
		if s.Region == region {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return hosts
	}
	return list
}

func leastLoaded(hosts []wire.Seat, counts map[ident.Host]int) ident.Host {
	best := ident.Host(hosts[0].Host)
	for _, s := range hosts[1:] {
		if counts[ident.Host(s.Host)] < counts[best] {
			best = ident.Host(s.Host)
		}
	}
	return best
}

func isIn(hosts []wire.Seat, host ident.Host) bool {
	return slices.ContainsFunc(hosts, func(s wire.Seat) bool { return s.Host == string(host) })
}

// Release hands the partitions that the host has let go of to their next owners.
func Release(t wire.SeatTable, host ident.Host, partitions []int) wire.SeatTable {
	next := clone(t)
	for _, i := range partitions {
		p := &next.Partitions[i]
		if p.Owner != string(host) || p.Next == "" {
			continue
		}
		*p = wire.Partition{Owner: p.Next, Since: next.Generation, Fresh: true, Region: p.Region}
	}
	return next
}

// Owned returns the partitions that the host holds, those that it has been asked to let go of not included.
func Owned(t wire.SeatTable, host ident.Host) []int {
	var list []int
	for i, p := range t.Partitions {
		if p.Owner == string(host) && p.Next == "" {
			list = append(list, i)
		}
	}
	return list
}

// Leaving returns the partitions that the host has been asked to let go of.
func Leaving(t wire.SeatTable, host ident.Host) []int {
	var list []int
	for i, p := range t.Partitions {
		if p.Owner == string(host) && p.Next != "" {
			list = append(list, i)
		}
	}
	return list
}

// LeastLoaded returns the partition, counted from one, that a host of the region holds and that has the least load.
// When no host of the region holds any, all partitions are weighed; an empty table gives zero.
func LeastLoaded(t wire.SeatTable, region string, load map[int]int) int {
	regions := map[string]string{}
	for _, s := range t.Seats {
		regions[s.Host] = s.Region
	}
	best := 0
	for _, nearby := range []bool{true, false} {
		for i, p := range t.Partitions {
			if nearby && regions[p.Owner] != region {
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
