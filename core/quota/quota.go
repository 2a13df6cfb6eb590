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
	"math"
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

type peer struct {
	uses  map[ident.Team]Use
	named time.Time
	heard time.Time
	down  bool // known to have ended, or to have lost its lease
}

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
			a.free = freeBurst*left*(0.5/hosts+0.5*a.part) + slackUsed*b.Slack/hosts
		}
	}
}

func (a *account) count(now time.Time) {
	elapsed := now.Sub(a.counted)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(demandMemory))
	a.demand = keep*a.demand + (1-keep)*a.asked/elapsed.Seconds()
	a.asked = 0
	a.counted = now
}

// SetPeers names the other hosts that hold a lease. Those that are not named any more count as down, although they may
// go on without their lease.
func (b *Book) SetPeers(now time.Time, hosts []ident.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = true
	named := map[ident.Host]bool{}
	for _, host := range hosts {
		named[host] = true
		p := b.peer(host)
		p.named = now
		p.down = false
	}
	for host, p := range b.peers {
		p.down = p.down || !named[host]
	}
	b.share(now)
}

func (b *Book) peer(host ident.Host) *peer {
	p := b.peers[host]
	if p == nil {
		p = &peer{}
		b.peers[host] = p
	}
	return p
}

// Heard takes in what a peer states of the teams.
func (b *Book) Heard(now time.Time, host ident.Host, uses map[ident.Team]Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peer(host)
	for team, use := range uses {
		a, before := b.teams[team], p.uses[team].Passed
		if a == nil || before == 0 {
			continue // what it had let through before is not known to be recent
		}
		if use.Passed < before {
			before = 0 // it has started again
		}
		a.refill(now)
		a.left -= use.Passed - before
	}
	p.uses, p.heard, p.down = uses, now, false
	b.share(now)
}

// Down notes that a peer's process seems to have ended.
func (b *Book) Down(now time.Time, host ident.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peers[host]; p != nil {
		p.down = true
		b.share(now)
	}
}

// Left notes that a host has stopped for good and uses nothing any more.
func (b *Book) Left(now time.Time, host ident.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, host)
	b.share(now)
}

// share works out the host's part of each team's rate.
func (b *Book) share(now time.Time) {
	b.forget(now)
	hosts := b.count()
	isolated, lost := b.reach(now)
	free := 1 - idlePart - lost*floorPart/hosts
	for team, a := range b.teams {
		a.refill(now)
		a.part = floorPart / hosts
		if !isolated {
			a.part = idlePart/hosts + free*b.demandPart(now, team, a, hosts)
		}
		a.tokens = min(a.tokens, max(1, a.part*ownBurst*a.rate.Burst))
	}
}

// count returns how many hosts share the rates.
func (b *Book) count() float64 {
	hosts := float64(len(b.peers) + 1)
	if !b.known {
		hosts = max(hosts, unknownHosts)
	}
	return hosts
}

// forget drops peers that are down for long. Silence alone does not count: it may be this host that is cut off.
func (b *Book) forget(now time.Time) {
	for host, p := range b.peers {
		if p.down && now.Sub(p.heard) > lostHosts && now.Sub(p.named) > lostHosts {
			delete(b.peers, host)
		}
	}
}

// reach tells whether the host hears so few of its peers that the others may count it as lost, and how many peers
// are silent.
func (b *Book) reach(now time.Time) (isolated bool, silent float64) {
	heard, counted := 1, 1
	for _, p := range b.peers {
		if now.Sub(p.heard) <= b.Isolation {
			heard++
			counted++
			continue
		}
		silent++
		if !p.down {
			counted++
		}
	}
	return !b.known || counted > 1 && 2*heard <= counted, silent
}

// demandPart returns this host's part of the demand of all hosts, equal parts when there is none.
func (b *Book) demandPart(now time.Time, team ident.Team, a *account, hosts float64) float64 {
	sum := a.agreed
	for _, p := range b.peers {
		if now.Sub(p.heard) <= b.Takeover {
			sum += p.uses[team].Demand
		}
	}
	if sum < leastDemand {
		return 1 / hosts
	}
	return a.agreed / sum
}
