package quota

import "jayshift/core/ident"

// Counters says which hosts count the requests of teams with a small burst for the others.
type Counters struct {
	// Hosts is the number of hosts that count a team's requests, 0 if each host counts those that it receives.
	Hosts int
	// Counts reports whether this host is one of those that count the team's requests.
	Counts func(ident.Team) bool
}

// SetCounters sets the hosts that count requests for others. It takes effect with the next usage report.
func (l *Limiter) SetCounters(c Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters = c
	l.assignCounters()
}

func (l *Limiter) assignCounters() {
	for team, s := range l.teams {
		s.counts = l.counters.Hosts > 0 && l.counters.Counts(team)
	}
}

// sharers returns the number of hosts that share the team's rate while none of them has demand: the counting hosts, if this
// host is one of them, otherwise all hosts.
func (l *Limiter) sharers(s *teamState, hosts float64) float64 {
	if s.counts && l.hasSmallBurst(s) {
		return float64(l.counters.Hosts)
	}
	return hosts
}

// minimumShare returns the share of the team's rate that this host may use while it is isolated. A counting host also has
// the shares of the hosts that it hears, for which it counts.
func (l *Limiter) minimumShare(s *teamState, hosts float64) float64 {
	if s.counts && l.hasSmallBurst(s) {
		return floorShare * l.reachable / hosts
	}
	return floorShare / hosts
}
