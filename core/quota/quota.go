// Package quota keeps teams within their rates over all hosts, although each host counts alone.
//
// Hosts state in their heartbeats what each team asks of them and what they have let through, so that each host knows
// nearly how much of a team's burst all of them together have left. While much is left, each host may use some of it at
// once. While little is left, hosts share the rate in proportion to the demand. A host counts growth of its own demand
// only one heartbeat after it was sent, when its peers have given way, and a fall at once; so the parts do not add up to
// more than the rate for longer than one lost heartbeat. A host that hears too few peers keeps to a floor, and the peers
// leave the floor of a host that they do not hear unused.
package quota

import (
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	floorPart    = 0.35            // of a rate, cut equally among the hosts, for those that are cut off
	ownBurst     = 0.25            // of a burst, cut by the hosts' parts, that they may use without looking at the others
	freeBurst    = 1               // of what is left of a burst, that all hosts together may use in one heartbeat
	slackUsed    = 0.4             // of the slack, that all hosts together may use in one heartbeat
	idlePart     = 0.02            // of a rate, cut equally among the hosts, for those without demand
	demandMemory = 1 * time.Second // time constant of a host's demand
	leastDemand  = 0.05            // requests a second that count as none
	fewRequests  = 3               // of a burst that each host holds; with fewer, requests that come by chance are refused
	lastDemand   = 1e-4            // requests a second by which a host still knows that it counts for a small team
	lostHosts    = 20 * time.Second
	unknownHosts = 20 // assumed until the host knows its peers
)

// Rate is what a team may ask of all hosts together.
type Rate struct {
	PerSecond float64 // 0 for no limit
	Burst     float64
}

// Book counts the requests of all teams at this host.
type Book struct {
	// Isolation is the silence after which a peer does not count as heard. Its part of the demand is given to others
	// only after Takeover, which is longer, so that a host that is cut off has kept to its floor before.
	Isolation time.Duration
	Takeover  time.Duration
	// Slack is how many requests all hosts together may let through beyond a rate in some seconds.
	Slack float64

	mu    sync.Mutex
	teams map[ident.Team]*account
	peers map[ident.Host]*peer
	known bool // the peers were named once
}

// account is what the host holds of one team's rate.
type account struct {
	rate     Rate
	demand   float64   // requests a second asked of this host
	asked    float64   // since counted
	counted  time.Time // when the demand was last worked out
	stated   float64   // demand in the last heartbeat
	agreed   float64   // demand that the peers have certainly seen
	tokens   float64   // of this host alone
	part     float64   // of the rate, from 0 to 1
	refilled time.Time
	passed   float64 // let through since the start
	left     float64 // of the burst, by what all hosts are known to have let through
	free     float64 // of what is left, that this host may use until the next heartbeat
}

// Use is what a host states of one team: the requests a second that were asked of it, and those let through since its
// start.
type Use struct{ Demand, Passed float64 }

// New returns a book of a host that knows no peers yet.
func New(isolation, takeover time.Duration, slack float64) *Book {
	return &Book{
		Isolation: isolation, Takeover: takeover, Slack: slack,
		teams: map[ident.Team]*account{}, peers: map[ident.Host]*peer{},
	}
}

// SetRates takes in the rates of all teams. A new account starts empty, since an earlier process of this host may have
// used what it had.
func (b *Book) SetRates(now time.Time, rates map[ident.Team]Rate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for team := range b.teams {
		if _, ok := rates[team]; !ok {
			delete(b.teams, team)
		}
	}
	for team, rate := range rates {
		a := b.teams[team]
		if a == nil {
			a = &account{counted: now, refilled: now}
			b.teams[team] = a
		}
		a.rate = rate
		a.left = min(a.left, rate.Burst)
	}
	b.share(now)
}

// Take counts a request of the team. If the host's part is used up it returns false and when to come back.
func (b *Book) Take(now time.Time, team ident.Team) (ok bool, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.teams[team]
	if a == nil || a.rate.PerSecond <= 0 {
		return true, 0
	}
	a.asked++
	a.refill(now)
	switch {
	case a.tokens >= 1:
		a.tokens--
	case a.free >= 1 && a.left-b.unheard(now, team) >= 1:
		a.free--
	default:
		perSecond := max(a.part*a.rate.PerSecond, leastDemand)
		return false, time.Duration((1 - a.tokens) / perSecond * float64(time.Second))
	}
	a.passed++
	a.left--
	return true, 0
}

// unheard estimates what peers have let through since their last heartbeats.
func (b *Book) unheard(now time.Time, team ident.Team) float64 {
	sum := 0.0
	for _, p := range b.peers {
		if silence := now.Sub(p.heard); silence <= b.Takeover {
			sum += p.uses[team].Demand * silence.Seconds()
		}
	}
	return sum
}

// Return gives back what a request took that was not sent to any backend server.
func (b *Book) Return(team ident.Team) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.teams[team]; a != nil {
		a.tokens++
		a.passed--
		a.left++
	}
}

func (a *account) refill(now time.Time) {
	elapsed := now.Sub(a.refilled).Seconds()
	a.refilled = now
	a.tokens = min(a.tokens+elapsed*a.part*a.rate.PerSecond, max(1, a.part*ownBurst*a.rate.Burst))
	a.left = min(a.left+elapsed*a.rate.PerSecond, a.rate.Burst)
}

// counting returns among how many hosts what is left of a burst is cut: those that count requests of a small team, all
// for any other team.
func (b *Book) counting(team ident.Team, a *account, hosts float64) float64 {
	if a.agreed < lastDemand || !b.small(a) {
		return hosts
	}
	n := 1.0
	for _, p := range b.peers {
		if p.uses[team].Demand >= lastDemand {
			n++
		}
	}
	return n
}

// Heartbeat works out what the host states of each team in its next heartbeat.
func (b *Book) Heartbeat(now time.Time) map[ident.Team]Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := map[ident.Team]Use{}
	for team, a := range b.teams {
		a.count(now)
		a.agreed = min(a.stated, a.demand)
		a.stated = a.demand
		uses[team] = Use{Demand: a.demand, Passed: a.passed}
	}
	b.share(now)
	b.setFree(now)
	return uses
}

// setFree works out what this host may use of what is left of each burst until the next heartbeat.
func (b *Book) setFree(now time.Time) {
	hosts := b.count()
	isolated, _ := b.reach(now)
	for team, a := range b.teams {
		a.free = 0
		if !isolated {
			left := max(0, a.left-b.unheard(now, team))
			n := b.counting(team, a, hosts)
			a.free = freeBurst*left*(0.5/n+0.5*a.part) + slackUsed*b.Slack/n
		}
	}
}
