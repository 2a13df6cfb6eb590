package quota

import "time"

// peerSums holds sums over the peers' last reports on one team. They are kept up to date report by report, so that the
// cost of a report or a request does not grow with the number of hosts.
type peerSums struct {
	demand    float64   // requests per second, of the peers that are counted
	reporting float64   // sum of each counted peer's demand times the time of its report
	active    float64   // number of peers with demand
	since     time.Time // the times in reporting are relative to this
}

// unreported estimates the number of requests that the counted peers have admitted since their last reports.
func (s *peerSums) unreported(now time.Time) float64 {
	return max(0, s.demand*now.Sub(s.since).Seconds()-s.reporting)
}

func (s *peerSums) add(u Usage, reportedAt time.Time, counted bool, sign float64) {
	if u.Demand >= minActiveDemand {
		s.active += sign
	}
	if counted {
		s.demand += sign * u.Demand
		s.reporting += sign * u.Demand * reportedAt.Sub(s.since).Seconds()
	}
}

// countPeers computes all sums. It counts the peers whose last report is at most TakeoverTimeout old.
func (l *Limiter) countPeers(now time.Time) {
	for _, s := range l.teams {
		s.peers = peerSums{since: now}
	}
	for _, p := range l.peers {
		l.addUsage(p, now.Sub(p.reportedAt) <= l.TakeoverTimeout)
	}
}

// addUsage adds a peer's last report to the sums.
func (l *Limiter) addUsage(p *peer, counted bool) {
	p.counted = counted
	l.sumUsage(p, 1)
}

// subtractUsage subtracts what addUsage has added.
func (l *Limiter) subtractUsage(p *peer) { l.sumUsage(p, -1) }

func (l *Limiter) sumUsage(p *peer, sign float64) {
	for team, u := range p.usage {
		if s := l.teams[team]; s != nil {
			s.peers.add(u, p.reportedAt, p.counted, sign)
		}
	}
}
