package place

import (
	"math"
	"time"

	"jayshift/core/pace"
)

const (
	// preferenceExponent sets how much fewer requests a slow server gets than the others: at 3 times the run time, a 27th.
	preferenceExponent = 3
	// minPreference is the least share of its requests that a slow server still gets, so that its recovery is noticed.
	minPreference = 0.05
	// minOthersPart bounds the exponent at a host that makes most of the observations of a server. Without it, a host of two used
	// a server again only 10 s after its recovery.
	minOthersPart = 0.6
	// usedDelay is the part of the time between the run time and the latency target that requests may wait on average.
	usedDelay = 0.5
	// maxOwnPart is the part of the observations of a server from which on a host goes by the load that it knows itself. With
	// 2 hosts that also refused a part, the credit was 0.73 instead of 0.77 when demand exceeded all slots by a tenth.
	maxOwnPart = 0.2
	// chanceUnits is the resolution of chances.
	chanceUnits = 1 << 20
)

func (s *server) paceKey() pace.Server { return pace.Server{ID: s.ID, Start: s.StartMillis} }

// slowdown returns the expected run time relative to the usual one, apart from the reported pace.
func (s *server) slowdown() float64 { return s.estimate.Slowdown(s.slowness) }

// limited returns the capacity within the limit on the requests that the server runs at the same time. Capacities below the
// largest one, of requests of lower priority, are reduced in proportion.
func (s *server) limited(capacity, largest float64) float64 {
	if s.estimate.Limit == 0 {
		return capacity
	}
	return min(capacity, max(1, s.estimate.Limit*capacity/largest))
}

// refusesExcess reports whether the request is one of those by which the load of the server exceeds what it can serve within
// the latency target. With many hosts, a host knows the present load of a server only from the other hosts' observations. All of
// them know the same, so each refuses a part of its requests.
func (s *server) refusesExcess(c candidate, q Query, settings *Settings) bool {
	if s.estimate.OwnPart > maxOwnPart || s.estimate.Load <= float64(s.Slots) && s.estimate.Limit == 0 {
		return false
	}
	most := float64(s.Slots)
	if s.estimate.Limit > 0 {
		most = s.estimate.Limit
	}
	most *= 1 + usedDelay*max(0, float64(q.LatencyTarget)/float64(max(c.run, 1))-1)
	if s.estimate.Load <= most {
		return false
	}
	part := most / s.estimate.Load
	return !chance(settings, part*part)
}

// runCost returns the cost of a run that is expected to take the time. All hosts have the same estimate, so if each of them
// sent to the fastest server, they would overload it. Instead, a slow or limited server costs as much as the others for a share
// of the requests, and more for the rest. The share is smaller at a host that sends a large part of the server's requests,
// since it knows the servers' load.
func (s *server) runCost(run time.Duration, settings *Settings) time.Duration {
	slowdown, limit := s.slowdown(), s.estimate.Limit
	if settings.Paces == nil || slowdown <= 1 && limit == 0 {
		return run
	}
	preference := max(minPreference, math.Pow(slowdown, -preferenceExponent/max(minOthersPart, 1-s.estimate.OwnPart)))
	if limit > 0 {
		preference *= limit / float64(s.Slots)
	}
	usual := time.Duration(float64(run) / slowdown)
	if chance(settings, preference) {
		return usual
	}
	return run + usual
}

// chance returns true with the probability.
func chance(settings *Settings, probability float64) bool {
	return float64(settings.Random(chanceUnits)) < probability*chanceUnits
}
