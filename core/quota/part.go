package quota

import (
	"math"
	"time"

	"jayshift/core/ident"
)

type peer struct {
	uses  map[ident.Team]Use
	named time.Time
	heard time.Time
	down  bool // its lease has ended
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

// Part returns the mean part of the teams' rates that this host may use, from 0 to 1.
func (b *Book) Part() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0.0
	for _, a := range b.teams {
		sum += a.part
	}
	return sum / max(1, float64(len(b.teams)))
}

// Small tells whether the team's burst is too small for each host to hold a few requests of it.
func (b *Book) Small(team ident.Team) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.teams[team]
	return a != nil && b.small(a)
}

func (b *Book) small(a *account) bool {
	return b.known && a.rate.PerSecond > 0 && a.rate.Burst+slackUsed*b.Slack < fewRequests*b.count()
}
