// Package quota limits the request rate of each team across all hosts, although each host counts requests on its own.
//
// Hosts report the demand and the number of admitted requests of each team in their heartbeats, so each host can
// estimate how much of a team's burst remains across the fleet. While much remains, each host may use part of it at
// once. While little remains, hosts divide the rate in proportion to their demand. A host applies a rise of its own
// demand only one heartbeat after reporting it, when its peers have reduced their shares, and a fall at once. The shares
// therefore add up to more than the rate for no longer than one lost heartbeat. A host that receives heartbeats from too
// few peers uses only a minimum share, and for each silent host its peers leave that minimum share unused.
package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	floorShare          = 0.35             // share of a rate, split equally among all hosts, that isolated hosts may use
	localBurstShare     = 0.25             // share of a burst, times its share of the rate, that a host may use regardless of other hosts
	remainingBurstShare = 1                // share of the remaining burst that all hosts together may use per heartbeat
	slackShare          = 0.4              // share of the slack that all hosts together may use per heartbeat
	idleShare           = 0.02             // share of a rate, split equally among all hosts, that hosts may use without demand
	demandTimeConstant  = 1 * time.Second  // time constant of the demand average
	minDemand           = 0.05             // requests per second; lower demand counts as none
	minBurstPerHost     = 3                // requests; with a smaller burst per host, random variation of arrivals causes refusals
	minActiveDemand     = 1e-4             // requests per second; with less, a host does not count as active for a team with a small burst
	peerRetention       = 20 * time.Second // time for which peers that are down are retained
	assumedHosts        = 20               // number of hosts assumed until the peers are known
)

// Rate is the limit on a team's requests across all hosts.
type Rate struct {
	PerSecond float64 // requests per second, 0 for no limit
	Burst     float64 // requests
}

// Limiter limits the requests of all teams at this host. It is safe for concurrent use.
type Limiter struct {
	// IsolationTimeout is the time without a heartbeat after which a peer counts as unreachable. Other hosts take over
	// its share of the demand only after TakeoverTimeout, which is longer, so that an isolated host has already
	// reduced itself to its minimum share by then.
	IsolationTimeout time.Duration
	TakeoverTimeout  time.Duration
	// Slack is how many requests all hosts together may admit above a rate within a few seconds.
	Slack float64

	mu         sync.Mutex
	teams      map[ident.Team]*teamState
	names      []ident.Team // of teams, sorted
	namesSum   int          // checksum of names
	peers      map[ident.Host]*peer
	peersKnown bool // SetPeers has been called
	counters   Counters
	isolated   bool      // this host hears of too few peers to use more than its minimum share
	reachable  float64   // number of hosts that this host hears, including itself
	silent     float64   // number of silent peers
	updatedAt  time.Time // when the shares were last computed
}

// teamState is the state of one team at this host.
type teamState struct {
	rate            Rate
	demand          float64   // average requests per second at this host
	arrived         float64   // requests since demandAt
	demandAt        time.Time // when demand was last updated
	reportedDemand  float64   // demand in the previous heartbeat
	confirmedDemand float64   // lower of the current and the last reported demand, which the peers have already received
	tokens          float64   // requests that this host may admit regardless of other hosts
	share           float64   // share of the rate that this host may use, from 0 to 1
	refilledAt      time.Time
	admitted        float64 // requests admitted since the process started
	remaining       float64 // burst that remains after the requests that all hosts are known to have admitted
	allowance       float64 // requests of the remaining burst that this host may admit until the next heartbeat
	peers           peerSums
	counts          bool // this host counts the requests of the team for other hosts, if its burst is small
}

// Usage is a host's report on one team: Demand is in requests per second, Admitted is the number of requests admitted
// since the host's process started.
type Usage struct{ Demand, Admitted float64 }

// New returns a limiter of a host whose peers are not known yet.
func New(isolation, takeover time.Duration, slack float64) *Limiter {
	return &Limiter{
		IsolationTimeout: isolation, TakeoverTimeout: takeover, Slack: slack,
		teams: map[ident.Team]*teamState{}, peers: map[ident.Host]*peer{},
	}
}

// SetRates replaces the rates of all teams. A new team starts without tokens, since an earlier process of this host may
// have used them.
func (l *Limiter) SetRates(now time.Time, rates map[ident.Team]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team := range l.teams {
		if _, ok := rates[team]; !ok {
			delete(l.teams, team)
		}
	}
	for team, rate := range rates {
		s := l.teams[team]
		if s == nil {
			s = &teamState{demandAt: now, refilledAt: now}
			l.teams[team] = s
		}
		s.rate = rate
		s.remaining = min(s.remaining, rate.Burst)
	}
	l.assignCounters()
	l.names = slices.Sorted(maps.Keys(rates))
	l.namesSum = checksum(l.names)
	l.updateShares(now)
}

// Take admits a request of the team and counts it. If this host's share is used up, it returns false and the time after
// which to retry. Requests of teams without a limit and of unknown teams are always admitted.
func (l *Limiter) Take(now time.Time, team ident.Team) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.teams[team]
	if s == nil || s.rate.PerSecond <= 0 {
		return true, 0
	}
	s.arrived++
	l.expireShares(now)
	s.refill(now)
	switch {
	case s.tokens >= 1:
		s.tokens--
	case s.allowance >= 1 && s.remaining-s.peers.unreported(now) >= 1:
		s.allowance--
	default:
		perSecond := max(s.share*s.rate.PerSecond, minDemand)
		return false, time.Duration((1 - s.tokens) / perSecond * float64(time.Second))
	}
	s.admitted++
	s.remaining--
	return true, 0
}

// expireShares computes the shares anew if that is overdue, as after a pause of this process: its peers have taken over its
// share by then.
func (l *Limiter) expireShares(now time.Time) {
	if now.Sub(l.updatedAt) <= l.IsolationTimeout {
		return
	}
	l.updateShares(now)
	for _, s := range l.teams {
		s.allowance = 0
	}
}

// Refund returns the token of a request that was not sent to any backend server.
func (l *Limiter) Refund(team ident.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.teams[team]; s != nil {
		s.tokens++
		s.admitted--
		s.remaining++
	}
}

// refill adds the tokens and the remaining burst that have accrued since refilledAt.
func (s *teamState) refill(now time.Time) {
	elapsed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.tokens = min(s.tokens+elapsed*s.share*s.rate.PerSecond, max(1, s.share*localBurstShare*s.rate.Burst))
	s.remaining = min(s.remaining+elapsed*s.rate.PerSecond, s.rate.Burst)
}

// activeHosts returns the number of hosts among which the remaining burst is divided. For a team with a small burst, these
// are only the hosts with demand. For any other team, and while this host has no demand, these are the sharers.
func (l *Limiter) activeHosts(s *teamState, hosts float64) float64 {
	if s.confirmedDemand < minActiveDemand || !l.hasSmallBurst(s) {
		return l.sharers(s, hosts)
	}
	return 1 + s.peers.active
}

// ReportUsage updates the demand and returns the usage of each team for the next heartbeat.
func (l *Limiter) ReportUsage(now time.Time) map[ident.Team]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := map[ident.Team]Usage{}
	for team, s := range l.teams {
		s.updateDemand(now)
		s.confirmedDemand = min(s.reportedDemand, s.demand)
		s.reportedDemand = s.demand
		usage[team] = Usage{Demand: s.demand, Admitted: s.admitted}
	}
	l.updateShares(now)
	l.updateAllowances(now)
	return usage
}

// updateAllowances computes how much of each remaining burst this host may use until the next heartbeat.
func (l *Limiter) updateAllowances(now time.Time) {
	hosts := l.hostCount()
	for _, s := range l.teams {
		s.allowance = 0
		if !l.isolated {
			remaining := max(0, s.remaining-s.peers.unreported(now))
			n := l.activeHosts(s, hosts)
			s.allowance = remainingBurstShare*remaining*(0.5/n+0.5*s.share) + slackShare*l.Slack/n
		}
	}
}
