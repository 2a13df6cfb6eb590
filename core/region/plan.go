package region

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/room"
)

// UsePlan lets the shares follow the plan of the regions' room. Call it before any other method.
func (l *Limiter) UsePlan() { l.planner = room.NewPlanner(l.local) }

// Plans reports whether the shares follow a plan.
func (l *Limiter) Plans() bool { return l.planner != nil }

// Plan returns the plan in force for the local region. It returns false without one, or while too little is known.
func (l *Limiter) Plan(now time.Time) (room.Division, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.division(now)
}

// HomeShare returns the present share of the local region.
func (l *Limiter) HomeShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares[l.local].current
}

// SetSlots replaces the slots of the servers in use.
func (l *Limiter) SetSlots(slots room.ByService) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != nil {
		l.planner.SetSlots(slots)
	}
}

// RecordDemand counts a request of this host's callers, whether it can be served or not.
func (l *Limiter) RecordDemand(now time.Time, q room.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != nil {
		l.planner.RecordRequest(now, q)
	}
}

// division returns the plan of the local region, false without one. The lock must be held.
func (l *Limiter) division(now time.Time) (room.Division, bool) {
	if l.planner == nil {
		return room.Division{}, false
	}
	d, ok := l.planner.Division(now)
	if !l.planner.Settled(now) && (!ok || l.initial.Home < d.Home) {
		d, ok = l.initial, l.started
	}
	for region := range d.Others {
		l.add(region)
	}
	return d, ok
}

// setInitial records the initial shares as the plan for the time until the demand is known. The lock must be held.
func (l *Limiter) setInitial() {
	l.initial = room.Division{Home: l.shares[l.local].current, Others: map[ident.Region]float64{}}
	for region, s := range l.shares {
		if region != l.local && l.initial.Home < 1 {
			l.initial.Others[region] = s.current / (1 - l.initial.Home)
		}
	}
}

// replacement returns the region for a request whose own region has no usable server: the cheapest one, but not the local one
// beyond its share if the plan restricts that. Its queues would fill with all that the lost region took. The lock must be held.
func (l *Limiter) replacement(now time.Time, q Request) ident.Region {
	plan, ok := l.division(now)
	if !ok || plan.Home == 1 || q.Cheapest != l.local || l.excess(l.local) < 0 {
		return q.Cheapest
	}
	best, most := q.Cheapest, 0.0
	for _, region := range l.order {
		if part := plan.Others[region]; part > most && q.Room(region) {
			best, most = region, part
		}
	}
	return best
}

// addDemand adds the demand of this host's callers to its report. The lock must be held.
func (l *Limiter) addDemand(now time.Time, r *Report) {
	if l.planner == nil {
		return
	}
	demand, bound := l.planner.Demand(now)
	r.Demand = demand
	for i := range r.Parts {
		r.Parts[i].Bound = bound[r.Parts[i].Region]
	}
}

// recordDemand records the demand in a report of another host. The lock must be held.
func (l *Limiter) recordDemand(now time.Time, host ident.Host, r Report) {
	if l.planner == nil {
		return
	}
	bound := room.ByService{}
	for _, p := range r.Parts {
		if len(p.Bound) > 0 {
			bound[p.Region] = p.Bound
		}
	}
	l.planner.RecordReport(now, host, room.Report{Region: r.From, Requests: r.Requests, Demand: r.Demand, Bound: bound})
}
