package region

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
	"jayshift/core/room"
)

const (
	maxExcess  = 0.03                   // share of the runs that a region may have above its own, while another one has no room
	maxCredit  = 1.0                    // requests, beyond what leeway allows
	leeway     = 0.02                   // part of the sum of requests by which the cheapest region may be ahead of its share
	creditTime = 800 * time.Millisecond // time without a request after which a host forgets its credits
	// initialShareFactor is the share of the excess requests that run in other regions at the start, when the number of
	// callers is not known yet. The excess is what the local servers cannot handle if all regions have equal demand.
	initialShareFactor = 0.6
	// plannedShareFactor is the same with a plan: all regions start with the same utilization. A request costs one round trip more
	// in another region, but several run times in a full queue at home.
	plannedShareFactor = 1.0
)

// Limiter chooses the region of each request so that of all requests of a region, over all hosts, the share that runs in
// each region changes gradually: an abrupt change would send many requests to cold servers and would then be reversed.
//
// All hosts of a region keep to the same shares, which they exchange. Each plans its requests for the regions by these shares,
// and follows the cheapest region as far as leeway allows. A host that has been quiet draws the region and owes nothing from
// earlier requests, so that the sum over the fleet is near the shares however few requests each host gets.
//
// A request for which the planned region has no room goes to another one while that has at most maxExcess above its share. A
// region without a usable server for a request is left at once, and other requests make up for it. It is safe for concurrent
// use.
type Limiter struct {
	host   ident.Host
	local  ident.Region
	mu     sync.Mutex
	draws  draws
	place  float64 // of this host among those of the region, from 0 to 1
	order  []ident.Region
	shares map[ident.Region]*share
	sums   map[ident.Region]*sums // of this host
	total  totals
	peers  map[ident.Host]peerReport
	others fleet // sums of the peers' reports
	// planner gives the maximum share of the local region; nil without a plan.
	planner *room.Planner
	initial room.Division // by the initial shares

	started   bool // the shares have been initialized
	inUse     bool // a host of the region has had a request, so that the shares change gradually from now on
	updatedAt time.Time
	requestAt time.Time // time of the last request
}

// share is the share of the requests that run in a region.
type share struct {
	current float64
	planned float64 // share of the requests to plan for the region, so that it gets its share of all
	credit  float64 // requests planned for the region lately, less those that went, bounded by maxCredit
}

// sums are decaying sums of a region's requests.
type sums struct {
	wanted    float64 // requests for which the region is the cheapest
	displaced float64 // requests planned for the region that it could not take, less those that it took for others
	runs      float64
}

// totals are decaying sums over all regions.
type totals struct {
	requests, runs float64
	recent         float64 // requests, with the time constant of displaced ones
}

// NewLimiter returns a limiter of a host in the local region.
func NewLimiter(host ident.Host, local ident.Region) *Limiter {
	l := &Limiter{host: host, local: local, shares: map[ident.Region]*share{}, sums: map[ident.Region]*sums{}, peers: map[ident.Host]peerReport{}}
	l.add(local)
	l.shares[local].current = 1
	return l
}

// Initialize sets the initial shares from the slots of each region, anew with each list until the fleet has its first request: the
// first lists of a host that starts may hold a few of the servers only.
func (l *Limiter) Initialize(slots map[ident.Region]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0.0
	for _, n := range slots {
		total += n
	}
	if l.inUse || total == 0 {
		return
	}
	l.started = true
	for _, s := range l.shares {
		s.current = 0
	}
	average := total / float64(len(slots))
	surplus := 0.0
	for region, n := range slots {
		if region != l.local {
			surplus += max(0, n-average)
		}
	}
	for region, n := range slots {
		l.add(region)
		if region == l.local || surplus == 0 {
			continue
		}
		l.shares[region].current = l.initialFactor() * max(0, 1-slots[l.local]/average) * max(0, n-average) / surplus
	}
	l.normalize()
	l.setInitial()
}

func (l *Limiter) initialFactor() float64 {
	if l.planner != nil {
		return plannedShareFactor
	}
	return initialShareFactor
}

// add adds a region without a share. The lock must be held.
func (l *Limiter) add(region ident.Region) {
	if l.shares[region] != nil {
		return
	}
	l.shares[region] = &share{}
	l.sums[region] = &sums{}
	l.order = append(l.order, region)
	slices.Sort(l.order)
}

// Request is what a limiter must know of a request.
type Request struct {
	Cheapest ident.Region // region with the server of the lowest cost among those that can take the request now
	// Restricted reports that the request may run in some regions only. It takes no part in the shares, which are of those that
	// may run anywhere.
	Restricted bool
	// Object is what the request is about, empty for none. With a plan, requests on an object run in the same region as far as the
	// shares allow, so that few servers have to run it for the first time.
	Object ident.Object
	// Usable reports whether the region has a server that is fit for the request, and Room whether one can take it now.
	Usable, Room func(ident.Region) bool
}

// Choose returns the region where a request runs, and why. It returns false if the request is to be refused, since it
// would change the shares of the regions too much.
func (l *Limiter) Choose(now time.Time, q Request) (ident.Region, Cause, bool) {
	if q.Restricted {
		return q.Cheapest, Bound, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(q.Cheapest)
	l.update(now)
	l.inUse = true
	l.total.requests++
	l.total.recent++
	l.sums[q.Cheapest].wanted++
	planned := l.plan(now, q.Object)
	chosen, cause := planned, Chosen
	switch {
	case !q.Usable(planned):
		chosen, cause = l.replacement(now, q), Lost
	case l.due(q.Cheapest)-1 >= -l.ahead():
		chosen = q.Cheapest
	case !q.Room(planned):
		chosen, cause = q.Cheapest, Full
	}
	full := cause == Full || cause == Chosen && chosen != l.local && q.Usable(l.local) && !q.Room(l.local)
	if full && l.excess(chosen) > maxExcess {
		other, ok := l.otherWithRoom(q)
		if !ok {
			return "", "", false
		}
		chosen = other
	}
	l.record(planned, chosen, cause)
	return chosen, cause, true
}

// otherWithRoom returns the region with room whose runs are the furthest below its share. It returns false if all regions with room
// have more runs than maxExcess allows. The lock must be held.
func (l *Limiter) otherWithRoom(q Request) (ident.Region, bool) {
	best, least := ident.Region(""), maxExcess
	for _, region := range l.order {
		if excess := l.excess(region); excess <= least && q.Room(region) {
			best, least = region, excess
		}
	}
	return best, best != ""
}

// plan returns the region to which a request is due: that of its object, unless this is ahead of its share. A host without
// requests for creditTime owes nothing, and draws the region of a request without an object. The lock must be held.
func (l *Limiter) plan(now time.Time, o ident.Object) ident.Region {
	idle := now.Sub(l.requestAt) > creditTime
	l.requestAt = now
	if idle {
		l.forgetCredits()
	}
	if assigned, ok := l.regionOf(o); ok && l.due(assigned) >= -objectLeeway {
		return assigned
	}
	if idle {
		return l.draw(now)
	}
	due := l.local
	for _, region := range l.order {
		if l.due(region) > l.due(due) {
			due = region
		}
	}
	return due
}

// forgetCredits lets the host owe nothing to any region. The lock must be held.
func (l *Limiter) forgetCredits() {
	for _, s := range l.shares {
		s.credit = 0
	}
}

// due returns how many requests are due to run in the region, with the present one. The lock must be held.
func (l *Limiter) due(region ident.Region) float64 {
	s := l.shares[region]
	return s.planned + s.credit
}

// record counts a run. The lock must be held.
func (l *Limiter) record(planned, chosen ident.Region, cause Cause) {
	l.total.runs++
	l.sums[chosen].runs++
	served := chosen
	if cause == Lost {
		l.sums[planned].displaced++
		l.sums[chosen].displaced--
		served = planned
	}
	for region, s := range l.shares {
		s.credit += s.planned
		if region == served {
			s.credit--
		}
		s.credit = min(max(s.credit, -maxCredit-l.ahead()), maxCredit+l.ahead())
	}
}

// ahead returns by how many requests the cheapest region may be ahead of its share. The lock must be held.
func (l *Limiter) ahead() float64 { return leeway * l.total.requests }

// excess returns by how much the region's share of this host's runs is above its share. The lock must be held.
func (l *Limiter) excess(region ident.Region) float64 {
	current := l.shares[region].current
	return (l.sums[region].runs+current)/(l.total.runs+1) - current
}

// draw returns a region, each with the probability that is planned for it. The lock must be held.
func (l *Limiter) draw(now time.Time) ident.Region {
	rest := l.draws.next(now, l.place)
	for _, region := range l.order {
		rest -= l.shares[region].planned
		if rest < 0 {
			return region
		}
	}
	return l.local
}

// position returns the place of this host among the hosts of the region, from 0 to 1, or another number of its own while it
// hears of none. The lock must be held.
func (l *Limiter) position() float64 {
	if len(l.peers) == 0 {
		return fraction(xxhash.Sum64String(string(l.host)))
	}
	before := 0
	for host := range l.peers {
		if host < l.host {
			before++
		}
	}
	return float64(before) / float64(1+len(l.peers))
}
