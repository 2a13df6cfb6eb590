package region

import (
	"math"
	"time"

	"jayshift/core/ident"
)

const (
	maxShareChange = 0.03 // maximum change of a region's share, per second
	maxDifference  = 0.03 // of a host's share from the mean of its peers when their reports arrived just now
	// roundedRequests is the sum of the fleet's requests at which the shares change half as fast as they may. The fewer requests,
	// the more do single ones change the shares.
	roundedRequests = 60.0
	raiseTolerance  = 0.01                   // by which the runs of a region that takes those of others may exceed its share
	timeConstant    = 1 * time.Second        // of the sums of requests and runs
	displacedTime   = 150 * time.Millisecond // time constant of the sums of displaced requests
	minSeen         = 2.0                    // recent requests from which a host relies on what it has seen itself
	minDisplaced    = 0.02                   // share of displaced requests below which there count as none
	updateInterval  = 5 * time.Millisecond   // between two updates of the shares
	idleRequests    = 1.0                    // sum of requests below which a host takes over the shares of its peers at once
)

// normalize lets the local region have what the others leave. The lock must be held.
func (l *Limiter) normalize() {
	others := 0.0
	for _, region := range l.order {
		if region != l.local {
			others += l.shares[region].current
		}
	}
	for region, s := range l.shares {
		if region != l.local && others > 1 {
			s.current /= others
		}
	}
	l.shares[l.local].current = max(0, 1-others)
}

// update moves the shares to the present. The lock must be held.
func (l *Limiter) update(now time.Time) {
	elapsed := max(now.Sub(l.updatedAt), 0)
	if l.updatedAt.IsZero() {
		elapsed = 0
	} else if elapsed < updateInterval {
		return
	}
	l.updatedAt = now
	l.decay(elapsed)
	f := l.fleet(now)
	seconds := min(elapsed, timeConstant).Seconds()
	step := maxShareChange * seconds * f.requests / (f.requests + roundedRequests)
	targets := l.targets(now, f)
	for region, s := range l.shares {
		if region == l.local {
			continue
		}
		s.current += min(max(targets[region]-s.current, -step), step)
		agreed, tolerance, ok := f.share(region)
		switch {
		case !l.inUse: // the peers know no more than this host
		case ok && l.total.requests < idleRequests:
			s.current = agreed
		case ok:
			s.current = min(max(s.current, agreed-tolerance), agreed+tolerance)
		}
	}
	l.normalize()
	l.compensate(f)
}

// targets returns the shares that other regions are to have: of the requests for which they are the cheapest, and of those that the
// local region must not have by the plan. The lock must be held.
func (l *Limiter) targets(now time.Time, f fleet) map[ident.Region]float64 {
	targets := make(map[ident.Region]float64, len(l.shares))
	home := 1.0
	for region, s := range l.shares {
		if region != l.local {
			targets[region] = f.target(region, s.current)
			home -= targets[region]
		}
	}
	plan, ok := l.division(now)
	if !ok || home <= plan.Home {
		return targets
	}
	for region, part := range plan.Others {
		if region != l.local {
			targets[region] += part * (home - plan.Home)
		}
	}
	return targets
}

// decay lets the sums decay for the elapsed time. The lock must be held.
func (l *Limiter) decay(elapsed time.Duration) {
	slow := math.Exp(-float64(elapsed) / float64(timeConstant))
	fast := math.Exp(-float64(elapsed) / float64(displacedTime))
	l.total.requests *= slow
	l.total.runs *= slow
	l.total.recent *= fast
	for _, s := range l.sums {
		s.wanted *= slow
		s.displaced *= fast
		s.runs *= slow
	}
}

// displaced returns the region's displaced requests of this host, extrapolated to all that its sum of requests holds. The
// lock must be held.
func (l *Limiter) displaced(region ident.Region) float64 {
	share := l.sums[region].displaced / (l.total.recent + 1)
	if math.Abs(share) < minDisplaced {
		return 0
	}
	return share * l.total.requests
}

// compensate computes which part of the requests is planned for each region: its share, and what it has lost to others lately. A share
// that is exceeded since requests of other regions had to run in the region is raised. The lock must be held.
func (l *Limiter) compensate(f fleet) {
	for _, region := range l.order {
		s := l.shares[region]
		if -f.displaced(region) > maxExcess {
			l.raise(region, f.runShare(region, s.current)-raiseTolerance)
		}
	}
	total := 0.0
	for _, region := range l.order {
		s := l.shares[region]
		s.planned = max(0, s.current+l.lost(region, f))
		total += s.planned
	}
	for _, s := range l.shares {
		s.planned /= total
	}
}

// lost returns the share of the requests that the region has lost to others lately: by what this host has seen, since reports of
// peers are older, or the fleet's if that is too little. The lock must be held.
func (l *Limiter) lost(region ident.Region, f fleet) float64 {
	if l.total.recent < minSeen {
		return f.displaced(region)
	}
	return l.displaced(region) / l.total.requests
}

// raise lets the region have at least the share, and the others accordingly less. The lock must be held.
func (l *Limiter) raise(region ident.Region, least float64) {
	current := l.shares[region].current
	if current >= least || current == 1 {
		return
	}
	for other, s := range l.shares {
		if other != region {
			s.current *= (1 - least) / (1 - current)
		}
	}
	l.shares[region].current = least
}
