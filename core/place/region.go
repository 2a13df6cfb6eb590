package place

import (
	"math"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	maxShareChange     = 0.05            // maximum change of a region's share of the requests, per second
	targetTimeConstant = 1 * time.Second // time constant of the moving average of regionShare.target
	maxCredit          = 1.0             // requests
	minCredit          = -1.0            // requests
	cheapestThreshold  = 0.5             // minimum of credit plus current share for a request to go to the cheapest region
	overdueThreshold   = 0.9             // minimum credit for a request to go to a region although another is cheaper
	// initialShareFactor is the share of the excess requests that run in other regions at the start, when the number of
	// callers is not known yet. The excess is what the local servers cannot handle if all regions have equal demand.
	initialShareFactor = 0.6
)

// regionLimiter limits how fast the share of requests that run in each other region changes. An abrupt change would send
// many requests to cold servers and would then be reversed. Requests go to the cheapest region as long as no share changes
// faster than maxShareChange.
type regionLimiter struct {
	mu        sync.Mutex
	shares    map[ident.Region]*regionShare
	updatedAt time.Time // time of the last request
}

// regionShare is the share of requests that run in one other region.
type regionShare struct {
	target  float64 // moving average of the share of requests for which the region is the cheapest
	current float64 // share of requests that go there now, follows target
	credit  float64 // requests due to go there minus those that went, between minCredit and maxCredit
}

// initialize sets the initial shares from the slots of each region, once.
func (l *regionLimiter) initialize(local ident.Region, slots map[ident.Region]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0.0
	for _, n := range slots {
		total += n
	}
	if len(l.shares) > 0 || total == 0 {
		return
	}
	average := total / float64(len(slots))
	surplus := 0.0
	for region, n := range slots {
		if region != local {
			surplus += max(0, n-average)
		}
	}
	for region, n := range slots {
		if region == local || surplus == 0 {
			continue
		}
		initial := initialShareFactor * max(0, 1-slots[local]/average) * max(0, n-average) / surplus
		l.shares[region] = &regionShare{current: initial, target: initial}
	}
}

func newRegionLimiter() *regionLimiter {
	return &regionLimiter{shares: map[ident.Region]*regionShare{}}
}

// choose returns the region where a request runs, given the cheapest one and the local region of this host. The function
// available reports whether a region has a server that can take the request. If the chosen region has none, the request
// is refused and not counted, since shares are of the requests that run.
func (l *regionLimiter) choose(now time.Time, local, cheapest ident.Region, available func(ident.Region) bool) ident.Region {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateShares(now, local, cheapest)
	chosen := local
	if share := l.shares[cheapest]; share != nil && share.credit+share.current >= cheapestThreshold {
		chosen = cheapest
	} else if region := l.overdue(available); region != "" {
		chosen = region
	}
	if available(chosen) {
		l.recordRun(chosen)
	}
	return chosen
}

// overdue returns the available region with the highest credit of at least overdueThreshold, or an empty name if there is
// none. The lock must be held.
func (l *regionLimiter) overdue(available func(ident.Region) bool) ident.Region {
	var chosen ident.Region
	for region, share := range l.shares {
		if share.credit < overdueThreshold || !available(region) {
			continue
		}
		if chosen == "" || share.credit > l.shares[chosen].credit || share.credit == l.shares[chosen].credit && region < chosen {
			chosen = region
		}
	}
	return chosen
}

// recordRun updates the credits for a request that runs in the chosen region. The lock must be held.
func (l *regionLimiter) recordRun(chosen ident.Region) {
	for region, share := range l.shares {
		share.credit += share.current
		if region == chosen {
			share.credit--
		}
		share.credit = min(max(share.credit, minCredit), maxCredit)
	}
}

// updateShares updates the targets and moves the current shares towards them. The lock must be held.
func (l *regionLimiter) updateShares(now time.Time, local, cheapest ident.Region) {
	if cheapest != local && l.shares[cheapest] == nil {
		l.shares[cheapest] = &regionShare{}
	}
	elapsed := min(max(now.Sub(l.updatedAt), 0), targetTimeConstant)
	if l.updatedAt.IsZero() {
		elapsed = 0
	}
	l.updatedAt = now
	alpha := 1 - math.Exp(-float64(elapsed)/float64(targetTimeConstant))
	maxStep := maxShareChange * elapsed.Seconds()
	for region, share := range l.shares {
		sample := 0.0
		if region == cheapest {
			sample = 1
		}
		share.target += alpha * (sample - share.target)
		share.current += min(max(share.target-share.current, -maxStep), maxStep)
	}
}
