package quota

import (
	"math"
	"time"

	"jayshift/core/ident"
)

// peer is the state of another host.
type peer struct {
	usage      map[ident.Team]Usage   // its last report
	admitted   map[ident.Team]float64 // requests that it has admitted, by its last report on each team
	listedAt   time.Time              // when it was last listed as a lease holder
	reportedAt time.Time              // when its last usage report arrived
	down       bool                   // it is no longer listed as a lease holder
	counted    bool                   // its demand is included in peerSums
}

// updateDemand updates the demand average with the requests that have arrived since the last update.
func (s *teamState) updateDemand(now time.Time) {
	elapsed := now.Sub(s.demandAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	s.demand = decay*s.demand + (1-decay)*s.arrived/elapsed.Seconds()
	s.arrived = 0
	s.demandAt = now
}

// SetPeers sets the other hosts that hold a lease. Peers that are no longer listed count as down, although they may
// still be serving requests without their lease.
func (l *Limiter) SetPeers(now time.Time, hosts []ident.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersKnown = true
	listed := map[ident.Host]bool{}
	for _, host := range hosts {
		listed[host] = true
		p := l.peer(host)
		p.listedAt = now
		p.down = false
	}
	for host, p := range l.peers {
		p.down = p.down || !listed[host]
	}
	l.updateShares(now)
}

func (l *Limiter) peer(host ident.Host) *peer {
	p := l.peers[host]
	if p == nil {
		p = &peer{admitted: map[ident.Team]float64{}}
		l.peers[host] = p
	}
	return p
}

// RecordPeerUsage processes a peer's usage report and marks the peer as alive. The report may be empty, and omits teams
// without demand.
func (l *Limiter) RecordPeerUsage(now time.Time, host ident.Host, usage map[ident.Team]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(host)
	l.subtractUsage(p)
	for team, u := range usage {
		s, prev := l.teams[team], p.admitted[team]
		p.admitted[team] = u.Admitted
		if s == nil || prev == 0 {
			continue // without an earlier report, the requests may have been admitted long ago
		}
		if u.Admitted < prev {
			prev = 0 // the peer has restarted
		}
		s.refill(now)
		s.remaining -= u.Admitted - prev
	}
	before := p.usage
	p.usage, p.reportedAt, p.down = usage, now, false
	l.addUsage(p, true)
	l.updateTeamShares(now, before)
	l.updateTeamShares(now, usage)
}

// RecordPeerAlive records that a peer is alive and that its usage has not changed since its last report.
func (l *Limiter) RecordPeerAlive(now time.Time, host ident.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[host]
	if p == nil || p.reportedAt.IsZero() {
		return
	}
	l.subtractUsage(p)
	p.reportedAt, p.down = now, false
	l.addUsage(p, true)
}

// RemovePeer removes a host that has stopped for good and admits no more requests.
func (l *Limiter) RemovePeer(now time.Time, host ident.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, host)
	l.updateShares(now)
}

// updateShares computes this host's share of each team's rate from all that is known of the peers.
func (l *Limiter) updateShares(now time.Time) {
	l.updatedAt = now
	l.removeLostPeers(now)
	l.isolated, l.reachable, l.silent = l.reachability(now)
	l.countPeers(now)
	hosts := l.hostCount()
	for _, s := range l.teams {
		l.updateShare(now, s, hosts)
	}
}

// updateTeamShares computes this host's share of the rates of the given teams, whose usage at a peer has changed.
func (l *Limiter) updateTeamShares(now time.Time, teams map[ident.Team]Usage) {
	hosts := l.hostCount()
	for team := range teams {
		if s := l.teams[team]; s != nil {
			l.updateShare(now, s, hosts)
		}
	}
}

func (l *Limiter) updateShare(now time.Time, s *teamState, hosts float64) {
	s.refill(now)
	s.share = l.minimumShare(s, hosts)
	if !l.isolated {
		sharers := l.sharers(s, hosts)
		distributable := 1 - idleShare - l.silent*floorShare/hosts
		s.share = idleShare/sharers + distributable*s.demandShare(sharers)
	}
	s.tokens = min(s.tokens, max(1, s.share*localBurstShare*s.rate.Burst))
}

// hostCount returns the number of hosts among which the rates are divided.
func (l *Limiter) hostCount() float64 {
	hosts := float64(len(l.peers) + 1)
	if !l.peersKnown {
		hosts = max(hosts, assumedHosts)
	}
	return hosts
}

// removeLostPeers removes peers that have been down for peerRetention. Silent peers that are not down are retained,
// since it may be this host that is isolated.
func (l *Limiter) removeLostPeers(now time.Time) {
	for host, p := range l.peers {
		if p.down && now.Sub(p.reportedAt) > peerRetention && now.Sub(p.listedAt) > peerRetention {
			delete(l.peers, host)
		}
	}
}

// reachability reports whether this host is isolated: it receives heartbeats from so few peers that they may count it as
// lost, or its peers are not known yet. It also returns the numbers of hosts that it hears, with itself, and of silent peers.
func (l *Limiter) reachability(now time.Time) (isolated bool, reachable, silent float64) {
	reachable = 1.0
	total := 1.0
	for _, p := range l.peers {
		if now.Sub(p.reportedAt) <= l.IsolationTimeout {
			reachable++
			total++
			continue
		}
		silent++
		if !p.down {
			total++
		}
	}
	return !l.peersKnown || total > 1 && 2*reachable <= total, reachable, silent
}

// demandShare returns this host's share of the demand of all hosts, or an equal share when there is no demand.
func (s *teamState) demandShare(sharers float64) float64 {
	sum := s.confirmedDemand + s.peers.demand
	if sum < minDemand {
		return 1 / sharers
	}
	return s.confirmedDemand / sum
}

// MeanShare returns the mean share of the teams' rates that this host may use, from 0 to 1.
func (l *Limiter) MeanShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	for _, s := range l.teams {
		sum += s.share
	}
	return sum / max(1, float64(len(l.teams)))
}

// HasSmallBurst reports whether the team's burst, with its part of the slack, is too small to give each host at least
// minBurstPerHost requests. It returns false for a team without a limit, and while the peers are not known.
func (l *Limiter) HasSmallBurst(team ident.Team) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.teams[team]
	return s != nil && l.hasSmallBurst(s)
}

func (l *Limiter) hasSmallBurst(s *teamState) bool {
	return l.peersKnown && s.rate.PerSecond > 0 && s.rate.Burst+slackShare*l.Slack < minBurstPerHost*l.hostCount()
}
