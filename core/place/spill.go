package place

import (
	"math"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	spillSlope  = 0.05            // of the requests, that may change their region in each second
	spillMemory = 1 * time.Second // time constant of where requests would go at the least cost
	mostCredit  = 1.0             // requests
	leastCredit = -1.0
	spillDue    = 0.5 // credit from which a request may go where it costs least
	spillForced = 0.9 // credit at which a request goes to a region although it is not the cheapest
	// spillPrior is the part of what a region's servers could not carry, if all regions had as many callers, that runs
	// elsewhere at the start, before it is known how many callers there are.
	spillPrior = 0.6
)

// spill keeps the share of requests that run in other regions from changing abruptly, which would meet cold servers
// and swing back. Requests go where it costs least as long as the share of each region changes no faster than the slope.
type spill struct {
	mu    sync.Mutex
	flows map[ident.Region]*flow
	at    time.Time // of the last request
}

// flow is what runs in one other region.
type flow struct {
	desire float64 // share of the requests that would go there at the least cost
	level  float64 // share that goes there
	credit float64 // requests that are due to go there
}

// begin sets the levels at the start, given the slots of each region.
func (s *spill) begin(own ident.Region, slots map[ident.Region]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for _, n := range slots {
		sum += n
	}
	if len(s.flows) > 0 || sum == 0 {
		return
	}
	fair := sum / float64(len(slots))
	spare := 0.0
	for region, n := range slots {
		if region != own {
			spare += max(0, n-fair)
		}
	}
	for region, n := range slots {
		if region == own || spare == 0 {
			continue
		}
		level := spillPrior * max(0, 1-slots[own]/fair) * max(0, n-fair) / spare
		s.flows[region] = &flow{level: level, desire: level}
	}
}

func newSpill() *spill { return &spill{flows: map[ident.Region]*flow{}} }

// choose returns the region where a request runs, given the one where it costs least; own is the host's own region,
// and possible tells whether a region has a server that can take the request. A request that is refused, since it may
// not run where it could, counts for nothing: shares are of the requests that run.
func (s *spill) choose(now time.Time, own, cheapest ident.Region, possible func(ident.Region) bool) ident.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now, own, cheapest)
	chosen := own
	if f := s.flows[cheapest]; f != nil && f.credit+f.level >= spillDue {
		chosen = cheapest
	} else if forced := s.forced(possible); forced != "" {
		chosen = forced
	}
	if possible(chosen) {
		s.ran(chosen)
	}
	return chosen
}

// forced returns the region where most requests are due to run although it is not the cheapest, empty for none. The lock
// is held.
func (s *spill) forced(possible func(ident.Region) bool) ident.Region {
	var forced ident.Region
	for region, f := range s.flows {
		if f.credit < spillForced || !possible(region) {
			continue
		}
		if forced == "" || f.credit > s.flows[forced].credit || f.credit == s.flows[forced].credit && region < forced {
			forced = region
		}
	}
	return forced
}

// ran counts a request that runs in the region. The lock is held.
func (s *spill) ran(chosen ident.Region) {
	for region, f := range s.flows {
		f.credit += f.level
		if region == chosen {
			f.credit--
		}
		f.credit = min(max(f.credit, leastCredit), mostCredit)
	}
}

// advance moves the levels towards where requests would go. The lock is held.
func (s *spill) advance(now time.Time, own, cheapest ident.Region) {
	if cheapest != own && s.flows[cheapest] == nil {
		s.flows[cheapest] = &flow{}
	}
	elapsed := min(max(now.Sub(s.at), 0), spillMemory)
	if s.at.IsZero() {
		elapsed = 0
	}
	s.at = now
	news := 1 - math.Exp(-float64(elapsed)/float64(spillMemory))
	step := spillSlope * elapsed.Seconds()
	for region, f := range s.flows {
		wish := 0.0
		if region == cheapest {
			wish = 1
		}
		f.desire += news * (wish - f.desire)
		f.level += min(max(f.desire-f.level, -step), step)
	}
}
