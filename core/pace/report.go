package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jayshift/core/ident"
)

const (
	maxReports = 8 // servers in a heartbeat
	// maxFleetReports bounds the servers in the heartbeats of all hosts. Each server in them costs a relay of 300 hosts 90 kB a
	// second if it passes on each eighth heartbeat.
	maxFleetReports = 800
	minDeviation    = 0.05 // logarithm of a ratio, from which a server is reported
	minReported     = 0.1  // weight of this host's own observations, from which they are reported
)

// Report is what a host has observed of a server itself.
type Report struct {
	Server   Server
	observed tallies
}

// Reports returns this host's own observations of the servers that differ most from the usual, at most maxReports, and fewer in
// a large fleet. A server
// that is known to differ is reported whatever this host has observed of it, because the mean would be too high if only hosts
// with high observations reported theirs.
func (b *Book) Reports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	type scored struct {
		Report
		deviation float64
	}
	var list []scored
	for id, s := range b.servers {
		s.age(now)
		own := s.own
		if own.load.weight < minReported {
			continue
		}
		if d := s.deviation(own); d >= minDeviation {
			list = append(list, scored{Report{id, own}, d})
		}
	}
	slices.SortFunc(list, func(x, y scored) int {
		return cmp.Or(cmp.Compare(y.deviation, x.deviation), compareServers(x.Server, y.Server))
	})
	var reports []Report
	for _, s := range list[:min(len(list), maxReports, max(1, maxFleetReports/b.hosts))] {
		reports = append(reports, s.Report)
	}
	return reports
}

// deviation returns how far the server is from the usual, by this host's own observations or by the estimate.
func (s *state) deviation(own tallies) float64 {
	known := math.Log(s.estimate.Slowdown(1))
	if s.estimate.Limit > 0 {
		known += math.Log(float64(s.slots) / s.estimate.Limit)
	}
	known += max(0, math.Log(s.estimate.Load/loadOf(low, s.slots)))
	return max(known, math.Log(Estimate{recent: own.recent}.Slowdown(1)))
}

// RecordReports records what a peer has observed. A report replaces the peer's last one of the same server.
func (b *Book) RecordReports(now time.Time, from ident.Host, reports []Report) {
	if len(reports) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxReports)] {
		if s := b.servers[r.Server]; s != nil {
			r.observed.limitWeight(maxPeerWeight)
			s.tell(now, from, r.observed)
		}
	}
}
