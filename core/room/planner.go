package room

import (
	"time"

	"jayshift/core/ident"
)

const (
	reportTTL    = 5 * time.Second        // age from which a host's report does not count
	planInterval = 250 * time.Millisecond // between two plans
	fewRequests  = 1.0                    // sum of a region's requests below which its demand need not be known
	// silentTime is the time after the first plan from which a region that was never heard of counts as one without hosts.
	silentTime = 10 * time.Second
	// settleTime is the time after the first requests of a region in which its demand is not known in full: reports of large fleets
	// are up to 4 s old, and the time constant of a meter is 2 s.
	settleTime = 6 * time.Second
)

// Report is what a host tells the others of the demand of its callers.
type Report struct {
	Region   ident.Region
	Requests float64 // decaying sum of the requests that may run anywhere, also of a host that reports no demand
	Demand   Demands
	Bound    ByService
}

// Planner makes the plan of all regions from what the hosts of the fleet report. It is not safe for concurrent use.
type Planner struct {
	local   ident.Region
	meter   Meter
	slots   ByService
	reports map[ident.Host]timedReport
	peaks   map[ident.Region]map[ident.Service]*Peak
	plan    map[ident.Region]Division // nil while too little is known
	nextAt  time.Time                 // of the next plan
	heard   map[ident.Region]bool     // regions whose hosts have reported
	heardBy time.Time                 // time by which the hosts of each region have reported, if there are any
	// settledAt is the time from which the demand of the local region is known, zero while it has none.
	settledAt time.Time
}

// timedReport is a report with the time at which it expires.
type timedReport struct {
	Report
	expiresAt time.Time
}

// NewPlanner returns the planner of a host in the local region.
func NewPlanner(local ident.Region) *Planner {
	return &Planner{
		local: local, reports: map[ident.Host]timedReport{}, peaks: map[ident.Region]map[ident.Service]*Peak{}, heard: map[ident.Region]bool{local: true},
	}
}

// SetSlots replaces the slots of the servers in use.
func (p *Planner) SetSlots(slots ByService) { p.slots = slots }

// RecordRequest counts a request of this host's callers.
func (p *Planner) RecordRequest(now time.Time, q Request) { p.meter.Record(now, q) }

// Demand returns the demand of this host's callers.
func (p *Planner) Demand(now time.Time) (Demands, ByService) { return p.meter.Read(now) }

// RecordReport records the report of another host.
func (p *Planner) RecordReport(now time.Time, host ident.Host, r Report) {
	p.heard[r.Region] = true
	p.reports[host] = timedReport{Report: r, expiresAt: now.Add(reportTTL)}
}

// Division returns how the requests of the local region's callers are divided. It returns false while too little is known.
func (p *Planner) Division(now time.Time) (Division, bool) {
	if !now.Before(p.nextAt) {
		p.nextAt = now.Add(planInterval)
		p.update(now)
	}
	d, ok := p.plan[p.local]
	return d, ok
}

// Settled reports whether the plan contains the demand of the local region: it has few requests, or has had them for long enough.
func (p *Planner) Settled(now time.Time) bool {
	return !now.Before(p.settledAt)
}

// update makes a new plan.
func (p *Planner) update(now time.Time) {
	if p.heardBy.IsZero() {
		p.heardBy = now.Add(silentTime)
	}
	sums := p.sum(now)
	switch {
	case sums[p.local].requests < fewRequests:
		p.settledAt = time.Time{}
	case p.settledAt.IsZero():
		p.settledAt = now.Add(settleTime)
	}
	f := Facts{Slots: p.slots, Bound: ByService{}, Demand: map[ident.Region]Demands{}}
	complete := true
	for r, sum := range sums {
		demand, known := sum.scaled()
		complete = complete && known
		f.Demand[r] = p.hold(now, r, demand)
		for q, services := range sum.bound {
			for s, work := range services {
				f.Bound.Add(q, s, work)
			}
		}
	}
	p.plan = nil
	if complete && p.coversSlots(now, f) {
		p.plan = f.Divide()
	}
}

// coversSlots reports whether the demand of all regions with servers is known. That of a region without hosts is none.
func (p *Planner) coversSlots(now time.Time, f Facts) bool {
	for r := range f.Slots {
		_, reported := f.Demand[r]
		if !reported && (p.heard[r] || now.Before(p.heardBy)) {
			return false
		}
	}
	return len(f.Slots) > 0
}

// hold returns the demand with the recent peaks of its work.
func (p *Planner) hold(now time.Time, r ident.Region, demand Demands) Demands {
	if p.peaks[r] == nil {
		p.peaks[r] = map[ident.Service]*Peak{}
	}
	for s := range demand {
		if p.peaks[r][s] == nil {
			p.peaks[r][s] = &Peak{}
		}
	}
	held := make(Demands, len(demand))
	for s, peak := range p.peaks[r] {
		d := demand[s]
		held[s] = Demand{Requests: d.Requests, Work: peak.Update(now, d.Work)}
	}
	return held
}

// sum sums the reports by region, with this host's own demand, and removes expired ones.
func (p *Planner) sum(now time.Time) map[ident.Region]*regionSum {
	sums := map[ident.Region]*regionSum{p.local: newRegionSum()}
	demand, bound := p.meter.Read(now)
	own := Report{Region: p.local, Demand: demand, Bound: bound}
	for _, d := range demand {
		own.Requests += d.Requests
	}
	sums[p.local].add(own)
	for host, r := range p.reports {
		if !now.Before(r.expiresAt) {
			delete(p.reports, host)
			continue
		}
		if sums[r.Region] == nil {
			sums[r.Region] = newRegionSum()
		}
		sums[r.Region].add(r.Report)
	}
	return sums
}
