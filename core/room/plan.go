// Package room plans in which regions the requests of each region run, from the demand of each region's callers and the room
// of each region: the capacity of its servers at a target utilization.
package room

import "jayshift/core/ident"

const (
	// targetUtilization leaves headroom: above it, queues grow faster than the shares of the regions can follow.
	targetUtilization = 0.75
	negligible        = 1e-6 // part of the slots below which spare room is a rounding error
)

// Facts is what a plan is made from.
type Facts struct {
	Slots  ByService                // of servers in use
	Bound  ByService                // work of requests that must run in the region
	Demand map[ident.Region]Demands // of callers, for requests that may run anywhere
}

// Division is how the requests of a region's callers are divided.
type Division struct {
	Home   float64                  // maximum share that runs in the home region
	Others map[ident.Region]float64 // division of the rest over other regions, with sum 1 if Home is below 1
}

// Divide returns the plan for each region with demand.
func (f Facts) Divide() map[ident.Region]Division {
	requests, home := map[ident.Region]float64{}, map[ident.Region]float64{}
	others := map[ident.Region]map[ident.Region]float64{}
	for _, s := range f.services() {
		fill := f.fill(s)
		for r := range f.Demand {
			d := f.Demand[r][s]
			share := fill.homeShare(r)
			requests[r] += d.Requests
			home[r] += d.Requests * share
			if others[r] == nil {
				others[r] = map[ident.Region]float64{}
			}
			for q, part := range fill.division(r) {
				others[r][q] += d.Requests * (1 - share) * part
			}
		}
	}
	plan := make(map[ident.Region]Division, len(f.Demand))
	for r := range f.Demand {
		plan[r] = newDivision(requests[r], home[r], others[r])
	}
	return plan
}

// newDivision returns the division of the given requests, of which home and others are at most to run in each region.
func newDivision(requests, home float64, others map[ident.Region]float64) Division {
	rest := 0.0
	for _, n := range others {
		rest += n
	}
	if requests <= 0 || rest <= negligible*requests {
		return Division{Home: 1}
	}
	d := Division{Home: home / (home + rest), Others: make(map[ident.Region]float64, len(others))}
	for r, n := range others {
		d.Others[r] = n / rest
	}
	return d
}

// services returns all services with servers.
func (f Facts) services() []ident.Service {
	known := map[ident.Service]bool{}
	var list []ident.Service
	for _, slots := range f.Slots {
		for s, n := range slots {
			if n > 0 && !known[s] {
				known[s] = true
				list = append(list, s)
			}
		}
	}
	return list
}

// fill is how the regions are filled with the requests of one service.
type fill struct {
	slots, work, room, spare map[ident.Region]Slots
	totalSlots, totalSpare   Slots
}

// fill fills each region up to the utilization target with the requests of its own callers. The spare room is for others.
func (f Facts) fill(s ident.Service) fill {
	x := fill{slots: map[ident.Region]Slots{}, work: map[ident.Region]Slots{}, room: map[ident.Region]Slots{}, spare: map[ident.Region]Slots{}}
	total := Slots(0)
	for r := range f.Slots {
		x.slots[r] = f.Slots[r][s]
		x.totalSlots += f.Slots[r][s]
	}
	for r := range f.Bound {
		total += f.Bound[r][s]
	}
	for r := range f.Demand {
		x.work[r] = f.Demand[r][s].Work
		total += f.Demand[r][s].Work
	}
	utilization := max(targetUtilization, total/x.totalSlots)
	for r, n := range x.slots {
		x.room[r] = max(0, utilization*n-f.Bound[r][s])
		x.spare[r] = max(0, x.room[r]-x.work[r])
		x.totalSpare += x.spare[r]
	}
	return x
}

// homeShare returns the share of the requests of the region's callers that its own room is enough for.
func (x fill) homeShare(r ident.Region) float64 {
	if x.work[r] <= x.room[r] {
		return 1
	}
	return float64(x.room[r] / x.work[r])
}

// division returns how requests of the region's callers are divided over other regions: in proportion to their spare room, or to
// their slots if there is none. The sum is 1, or 0 if no other region has slots.
func (x fill) division(r ident.Region) map[ident.Region]float64 {
	weights, total := x.spare, x.totalSpare-x.spare[r]
	if total <= negligible*x.totalSlots {
		weights, total = x.slots, x.totalSlots-x.slots[r]
	}
	parts := map[ident.Region]float64{}
	for q, n := range weights {
		if q != r && total > 0 {
			parts[q] = float64(n / total)
		}
	}
	return parts
}
