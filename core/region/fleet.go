package region

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/room"
)

const (
	reportTTL   = 5 * time.Second        // age from which a peer's report does not count
	freshTTL    = 1 * time.Second        // age from which a report says nothing of the runs of the moment
	sumInterval = 250 * time.Millisecond // between two sums of the peers' reports
	// priorRequests is the number of requests as which the present shares count in an average. A few requests say little.
	priorRequests = 5.0
)

// Report is what the hosts of a region tell each other.
type Report struct {
	From     ident.Region // region of the host
	Requests float64      // decaying sum of the requests
	Parts    []Part       // by region, empty while the host knows no servers
	Demand   room.Demands // of the host's callers, empty without a plan
}

// Part is what a report says of one region.
type Part struct {
	Region    ident.Region
	Share     float64 // of the requests, from 0 to 1
	Wanted    float64 // decaying sum of the requests for which the region is the cheapest
	Displaced float64 // requests that the region could not take, less those that it took for others, of the sum of requests
	Runs      float64 // decaying sum of the requests that ran there
	// Bound is the work, by service, of requests that may run in some regions only and run there.
	Bound map[ident.Service]room.Slots
}

// peerReport is a report with the time of its arrival.
type peerReport struct {
	Report
	at time.Time
}

// Report returns what this host tells its peers.
func (l *Limiter) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	r := Report{From: l.local, Requests: l.total.requests}
	if !l.started {
		return r
	}
	for _, region := range l.order {
		r.Parts = append(r.Parts, Part{
			Region: region, Share: l.shares[region].current, Wanted: l.sums[region].wanted, Displaced: l.displaced(region),
			Runs: l.sums[region].runs,
		})
	}
	l.addDemand(now, &r)
	return r
}

// RecordReport records the report of a peer. Of those of other regions, and of hosts that know no shares yet, only the demand counts.
func (l *Limiter) RecordReport(now time.Time, host ident.Host, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordDemand(now, host, r)
	if r.From != l.local || len(r.Parts) == 0 {
		return
	}
	l.inUse = l.inUse || r.Requests > 0
	for _, p := range r.Parts {
		l.add(p.Region)
	}
	if _, known := l.peers[host]; !known {
		l.others.at = time.Time{} // this host's place changes
	}
	l.peers[host] = peerReport{Report: r, at: now}
}

// fleet holds the sums over hosts of the region.
type fleet struct {
	at       time.Time // when the sums were made
	requests float64
	fresh    float64 // requests of hosts whose runs are counted
	runs     float64
	weight   float64
	age      float64               // weighted sum of the reports' ages, in seconds
	parts    map[ident.Region]Part // with weighted sums of the shares
}

// fleet returns the sums of this host and of its peers. The lock must be held.
func (l *Limiter) fleet(now time.Time) fleet {
	if now.Sub(l.others.at) >= sumInterval {
		l.others = l.sumReports(now)
	}
	f := l.others
	f.requests += l.total.requests
	f.fresh += l.total.requests
	f.runs += l.total.runs
	f.parts = make(map[ident.Region]Part, len(l.order))
	for region, s := range l.sums {
		part := l.others.parts[region]
		part.Wanted += s.wanted
		part.Displaced += l.displaced(region)
		part.Runs += s.runs
		f.parts[region] = part
	}
	return f
}

// sumReports returns the sums of the peers' reports, and removes those that are too old. The lock must be held.
func (l *Limiter) sumReports(now time.Time) fleet {
	f := fleet{at: now, parts: make(map[ident.Region]Part, len(l.order))}
	for host, p := range l.peers {
		if now.Sub(p.at) > reportTTL {
			delete(l.peers, host)
			continue
		}
		f.requests += p.Requests
		weight := p.Requests + 1
		f.weight += weight
		f.age += weight * now.Sub(p.at).Seconds()
		for _, part := range p.Parts {
			sum := f.parts[part.Region]
			sum.Share += weight * part.Share
			sum.Wanted += part.Wanted
			f.parts[part.Region] = sum
		}
		if now.Sub(p.at) <= freshTTL {
			f.addRuns(p.Report)
		}
	}
	l.place = l.position()
	return f
}

// addRuns adds the runs of a report.
func (f *fleet) addRuns(r Report) {
	f.fresh += r.Requests
	for _, part := range r.Parts {
		f.runs += part.Runs
		sum := f.parts[part.Region]
		sum.Displaced += part.Displaced
		sum.Runs += part.Runs
		f.parts[part.Region] = sum
	}
}

// share returns the mean of the peers' shares of a region, and by how much that of a host may differ: the reports are some time
// old. It returns false without peers.
func (f fleet) share(region ident.Region) (mean, tolerance float64, ok bool) {
	if f.weight == 0 {
		return 0, 0, false
	}
	return f.parts[region].Share / f.weight, maxDifference + maxShareChange*f.age/f.weight, true
}

// runShare returns the share of the runs that were in the region.
func (f fleet) runShare(region ident.Region, current float64) float64 {
	return (f.parts[region].Runs + priorRequests*current) / (f.runs + priorRequests)
}

// target returns the share of the requests for which the region is the cheapest.
func (f fleet) target(region ident.Region, current float64) float64 {
	return (f.parts[region].Wanted + priorRequests*current) / (f.requests + priorRequests)
}

// displaced returns the share of the requests that were drawn for the region but ran elsewhere, less those the other way.
func (f fleet) displaced(region ident.Region) float64 {
	return f.parts[region].Displaced / (f.fresh + priorRequests)
}
